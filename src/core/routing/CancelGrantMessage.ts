/** A gateway withdraws a waiting grant request because its caller left. */
export interface CancelGrantMessage {
  type: 'cancelGrant';
  requestId: string;
  attempt: number;
}
