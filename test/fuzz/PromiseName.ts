/** Promise, or supporting rule, that a profile tries. */
export type PromiseName =
  | 'answer'
  | 'refusal'
  | 'once'
  | 'leaving'
  | 'shutdown'
  | 'guarantee'
  | 'settings'
  | 'record'
  | 'gang'
  | 'holder'
  | 'settle';
