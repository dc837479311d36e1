/** A claim of the lead; its offset in the claims' stream becomes the fencing token. */
export interface ClaimRecord {
  type: 'claim';
  vmId: string;
  /** Life of the process that claims. */
  incarnation: string;
}
