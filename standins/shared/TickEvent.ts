/** The time requested by the last `wake` effect has come. */
export interface TickEvent {
  type: 'tick';
}
