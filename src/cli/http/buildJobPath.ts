/** Builds the path of the job list of a workspace, or of one job. */
export const buildJobPath = (workspace: string, jobId?: string): string => {
  const path = `/v1/workspaces/${encodeURIComponent(workspace)}/jobs`;
  return jobId === undefined ? path : `${path}/${encodeURIComponent(jobId)}`;
};
