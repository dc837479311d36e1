/** Why a request was refused; also the reason in the response and in the counter of answers. */
export type CallerRefusal =
  | 'no-config'
  | 'no-queue'
  | 'unknown-key'
  | 'invalid-job'
  | 'no-such-job'
  | 'store-refused'
  | 'store-silent'
  | 'store-behind'
  | 'store-unanswered';
