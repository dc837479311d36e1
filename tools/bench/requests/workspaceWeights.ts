/** Workspaces of the generated load; by default their demand is proportional to their weights. */
export const workspaceWeights: Record<string, number> = {
  desk: 4,
  labels: 2,
  lookup: 1,
  archive: 1,
};
