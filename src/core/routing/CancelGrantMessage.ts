/**
 * A gateway cancels a waiting grant request, because its caller disconnected or its deadline
 * passed.
 */
export interface CancelGrantMessage {
  type: 'cancelGrant';
  requestId: string;
  attempt: number;
}
