/** Promise to users, or invariant that supports one, that a profile tests. */
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
