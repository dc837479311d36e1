/** Asks for a `tick` event at a monotonic time; replaces the earlier wish, null cancels it. */
export interface TimerEffect {
  type: 'wake';
  at: number | null;
}
