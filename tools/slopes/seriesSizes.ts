/** Sizes shared by several series; the largest `workers` and `tasks` are totals of all zones. */
export const seriesSizes = {
  workers: [142, 567, 1700, 5667, 17_000],
  tasks: [2534, 9500, 19_000, 38_000, 76_000],
  zoneWorkers: [71, 142, 283, 567, 1134],
  parts: [64, 128, 256, 512, 1024],
  workspaces: [44, 89, 178, 356, 712],
  /** Up to the queue length above which a placement pass does not follow every event. */
  shortQueue: [12, 25, 50, 100, 200],
  queuedJobs: [50, 100, 200, 400, 800],
  jobs: [767, 3000, 6000, 12_000, 23_000],
  vms: [30, 60, 90, 180, 360],
} as const;
