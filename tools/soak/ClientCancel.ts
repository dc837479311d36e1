/** When a client cancels its job: never, before the submission is answered, some time after that, or with others. */
export type ClientCancel =
  | { type: 'none' }
  | { type: 'beforeAnswer'; afterMs: number }
  | { type: 'afterAnswer'; afterMs: number }
  | { type: 'inWave' };
