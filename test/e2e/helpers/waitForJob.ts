import type { Office } from '../../../tools/office/Office.js';
import { waitUntil } from '../../../tools/office/waitUntil.js';
import { showJob } from './showJob.js';
import type { ShownJob } from './ShownJob.js';

/** Waits until a job is in a state; returns it. */
export const waitForJob = (
  office: Office,
  port: number,
  jobId: string,
  state: string,
  limitMs: number,
): Promise<ShownJob> =>
  waitUntil(`job ${jobId} is ${state}`, limitMs, async () => {
    const job = await showJob(office, port, jobId);
    return job?.state === state ? job : undefined;
  });
