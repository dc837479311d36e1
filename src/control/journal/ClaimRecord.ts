/** A claim of leadership; the fencing token of its term is its offset in the `claims` stream plus 1. */
export interface ClaimRecord {
  type: 'claim';
  vmId: string;
  /** Incarnation of the claiming process. */
  incarnation: string;
}
