import { callApi } from '../../../tools/office/callApi.js';
import type { Office } from '../../../tools/office/Office.js';
import { waitForJob } from './waitForJob.js';

// A stop call to a worker that answers takes two calls of 1.5 s at most.
const cancelLimitMs = 3000;

/** Cancels a job of workspace `labels` and waits until it has ended. */
export const cancelGang = async (office: Office, port: number, jobId: string): Promise<void> => {
  const path = `/v1/workspaces/labels/jobs/${jobId}`;
  await callApi(port, 'DELETE', path, { token: office.rootToken });
  await waitForJob(office, port, jobId, 'cancelled', cancelLimitMs);
};
