import type { Refusal } from '../Refusal.js';

/** A scheduler refuses to grant. */
export interface RefuseGrantMessage {
  type: 'refuseGrant';
  requestId: string;
  attempt: number;
  refusal: Refusal;
}
