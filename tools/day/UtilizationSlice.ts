/** Use of the accelerators in one second of a day, in accelerator-seconds. */
export interface UtilizationSlice {
  /** Epoch second. */
  second: number;
  /** Used by runs that were not lost. */
  productive: number;
  /** Used by runs that were preempted for a guarantee. */
  reclaimed: number;
  /** Used by runs that were lost for other reasons. */
  lost: number;
  /** Unused while a step waited for capacity. */
  idleWhileWaiting: number;
  /** Unused while no step waited. */
  idle: number;
}
