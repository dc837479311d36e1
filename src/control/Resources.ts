/** An amount of compute resources that a worker offers or a task needs. */
export interface Resources {
  /** CPU in thousandths of a core. */
  cpu: number;
  /** Memory in megabytes. */
  memMb: number;
  /** Number of accelerators. */
  gpu: number;
}
