/** Something on its way; `run` applies it at its true time. */
export interface BagItem {
  dueAt: number;
  sequence: number;
  run: () => void;
}
