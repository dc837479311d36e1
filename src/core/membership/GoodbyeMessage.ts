/**
 * Sent by a gateway before it exits, if all its request counts are recorded; the loss of its link
 * then leaves no unknown requests to record.
 */
export interface GoodbyeMessage {
  type: 'goodbye';
}
