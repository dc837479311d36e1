/** Size of an office to start on loopback. */
export interface ClusterSpec {
  zones: string[];
  vmsPerZone: number;
  workersPerZone: number;
  /** Overrides of `[timing]`, in milliseconds. */
  timing?: Record<string, number>;
}
