/** What the runs of a workspace used on one day. */
export interface UsageTotal {
  workspace: string;
  /** Day in UTC on which the runs ended, such as 2026-12-04. */
  day: string;
  /** Runs whose end a worker listed. */
  runs: number;
  /** Accelerator-milliseconds for which runs were seen to be under way. */
  gpuMs: number;
  /** Core-milliseconds for which runs were seen to be under way. */
  cpuMs: number;
  /** Runs that may have been under way when their worker was lost. */
  unknownRuns: number;
  /** Accelerator-milliseconds that were used at most, besides `gpuMs`, while nobody saw the runs. */
  unknownGpuMs: number;
}
