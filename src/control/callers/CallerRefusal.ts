/**
 * Why a request was refused; also the reason in the response and in the counter of answers.
 * `job-too-large`: the store has no record that is long enough for the job;
 * `store-refused`: the store refused the append; `store-silent`: the store doesn't answer reads, so
 * nothing was appended; `store-behind`: the view of the journal is too old to deny or count jobs;
 * `config-behind`: that of the configuration is too old to deny the request;
 * `store-unanswered`: the append was not confirmed in time, so its outcome is unknown.
 */
export type CallerRefusal =
  | 'no-config'
  | 'no-queue'
  | 'unknown-key'
  | 'invalid-job'
  | 'job-too-large'
  | 'no-such-job'
  | 'store-refused'
  | 'store-silent'
  | 'store-behind'
  | 'config-behind'
  | 'store-unanswered';
