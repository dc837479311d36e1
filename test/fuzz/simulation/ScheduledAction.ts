/** An action that runs at a simulation time, such as a delivery or a timeout. */
export interface ScheduledAction {
  /** Simulation time. */
  dueAt: number;
  /** Number of the action in the order of scheduling. */
  sequence: number;
  run: () => void;
}
