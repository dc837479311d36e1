/** An action that runs at a simulation time, such as a delivery or a timeout. */
export interface ScheduledAction {
  dueAt: number;
  sequence: number;
  run: () => void;
}
