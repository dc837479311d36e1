/** How accelerators were used in one second of a day, in accelerator seconds. */
export interface UtilizationSlice {
  /** Epoch second. */
  second: number;
  /** By runs that were not lost. */
  productive: number;
  /** By runs that were stopped to make room for a guarantee. */
  reclaimed: number;
  /** By runs that were lost otherwise. */
  lost: number;
  /** By nothing, while some step waited for room. */
  idleWhileWaiting: number;
  /** By nothing, while nothing waited. */
  idle: number;
}
