/** Why a request was not served; also the name of its counter. */
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
