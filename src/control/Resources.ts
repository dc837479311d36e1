/** An amount of what a worker offers and a task needs. */
export interface Resources {
  /** Thousandths of a core. */
  cpu: number;
  memMb: number;
  /** Accelerators. */
  gpu: number;
}
