import { callApi } from '../../../tools/office/callApi.js';
import type { Office } from '../../../tools/office/Office.js';
import type { ShownJob } from './ShownJob.js';

/** Reads a job of workspace `labels`; undefined while no scheduler answers. */
export const showJob = async (
  office: Office,
  port: number,
  jobId: string,
): Promise<ShownJob | undefined> => {
  const path = `/v1/workspaces/labels/jobs/${jobId}`;
  const { status, data } = await callApi(port, 'GET', path, { token: office.rootToken });
  return status === 200 ? (data as ShownJob) : undefined;
};
