/** Size and timing of a cluster to start on loopback. */
export interface ClusterSpec {
  zones: string[];
  vmsPerZone: number;
  workersPerZone: number;
  /** Overrides of `[timing]` in the configuration file, in milliseconds. */
  timing?: Record<string, number>;
}
