import { readClock } from '../../standins/shared/readClock.js';
import { waitMs } from '../cluster/waitMs.js';
import { chooseNode } from './chooseNode.js';
import { sendClientRequest } from './sendClientRequest.js';
import type { Soak } from './Soak.js';
import type { SubmittedJob } from './SubmittedJob.js';

// Outlasts any chain of faults.
const maxAttempts = 60;
const retryDelayMs = 1000;
const finalStatuses = [200, 204, 410];

/** Cancels a job at any VM until the answer is one that clients take as final. */
export const cancelJob = async (soak: Soak, job: SubmittedJob, path: string): Promise<void> => {
  job.cancelled = true;
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const node = chooseNode(soak);
    // eslint-disable-next-line no-await-in-loop -- attempts are sequential.
    const { status } = await sendClientRequest(node.frontendRelay.port, 'DELETE', path);
    if (finalStatuses.includes(status)) {
      job.cancelAnswer = { at: readClock().at, status, vmId: node.id };
      return;
    }
    // eslint-disable-next-line no-await-in-loop -- delay between attempts.
    await waitMs(retryDelayMs);
  }
};
