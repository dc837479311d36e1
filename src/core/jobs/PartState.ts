/** Phase of one part of a gang, as last reported by its worker. */
export type PartState =
  | 'assigned'
  | 'prepared'
  | 'running'
  | 'checkpointing'
  | 'finished'
  | 'failed'
  | 'stopped'
  | 'lost';
