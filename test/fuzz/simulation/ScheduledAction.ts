/** Something on its way; `run` applies it at its true time. */
export interface ScheduledAction {
  dueAt: number;
  sequence: number;
  run: () => void;
}
