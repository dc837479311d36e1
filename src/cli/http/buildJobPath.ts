/** Builds the path of a workspace's jobs, or of one job. */
export const buildJobPath = (workspace: string, jobId?: string): string => {
  const path = `/v1/workspaces/${encodeURIComponent(workspace)}/jobs`;
  return jobId === undefined ? path : `${path}/${encodeURIComponent(jobId)}`;
};
