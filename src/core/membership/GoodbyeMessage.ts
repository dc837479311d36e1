/** A gateway ends after it has handed everything over; its lost link leaves nothing unknown. */
export interface GoodbyeMessage {
  type: 'goodbye';
}
