/** Sent by a gateway that has handed over everything before it ends, so nothing stays unknown. */
export interface GoodbyeMessage {
  type: 'goodbye';
}
