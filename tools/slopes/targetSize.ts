/** Sizes for which docs/CAPACITY.md states the costs; taken from docs/design.md, section 1.3. */
export const targetSize = {
  workers: 17_000,
  tasks: 76_000,
  jobsPerDay: 23_000,
  teams: 89,
  zones: 30,
  changesPerDay: 7100,
  /** Workers and tasks of one zone, rounded up. */
  zoneWorkers: 567,
  zoneTasks: 2534,
  /** Estimate: four workspaces per team, as each office has today. */
  workspacesPerTeam: 4,
  /** Estimate: jobs of 4 h mean that 3,833 run at once, with 20 of the 76,000 tasks each. */
  partsPerJob: 20,
} as const;
