import type { Refusal } from '../Refusal.js';

/** A scheduler refuses a grant request. */
export interface RefuseGrantMessage {
  type: 'refuseGrant';
  requestId: string;
  attempt: number;
  refusal: Refusal;
}
