import { sendClientRequest } from './sendClientRequest.js';
import type { Soak } from './Soak.js';

const terminalStates = ['completed', 'failed', 'cancelled'];

/** Finds accepted jobs that some VM does not report as ended, or reports as cancelled without a request. */
export const findUnfinishedJobs = async (soak: Soak): Promise<string[]> => {
  const accepted = [...soak.jobs.values()].filter(({ statuses }) => statuses.includes(200));
  const checks = accepted.flatMap((job) =>
    soak.nodes.map(async ({ id, frontendRelay }) => {
      const { status, body } = await sendClientRequest(frontendRelay.port, 'GET', `/b/${job.id}`);
      const state = String(body.state);
      if (status !== 200 || !terminalStates.includes(state)) {
        return [`job ${job.id} is ${status} ${state} at ${id}`];
      }
      return state === 'cancelled' && !job.cancelled ? [`job ${job.id} was never cancelled`] : [];
    }),
  );
  return (await Promise.all(checks)).flat();
};
