/** Requests a `tick` event at a monotonic time; replaces the previous request, and null cancels it. */
export interface TimerEffect {
  type: 'wake';
  at: number | null;
}
