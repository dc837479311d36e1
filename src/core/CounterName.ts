/** Names of counters; refusals and retries are counted separately, with one counter per reason. */
export type CounterName =
  | 'late_answer_dropped'
  | 'grant_expired'
  | 'lease_lapsed'
  | 'claim_lost'
  | 'gang_stopped'
  | 'reclaim_started'
  | 'message_rejected'
  | 'record_unknown'
  | 'caller_reset';
