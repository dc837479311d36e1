/** Resource usage of a workspace's runs on one day. */
export interface UsageTotal {
  workspace: string;
  /** UTC day on which the runs ended, such as 2026-12-04. */
  day: string;
  /** Runs whose end was listed by a worker. */
  runs: number;
  /** Accelerator-milliseconds for which runs were observed running. */
  gpuMs: number;
  /** Core-milliseconds for which runs were observed running. */
  cpuMs: number;
  /** Runs that may have been running when their worker was lost. */
  unknownRuns: number;
  /** Upper bound on the accelerator-milliseconds beyond `gpuMs`, from times without observation. */
  unknownGpuMs: number;
}
