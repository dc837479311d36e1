import { sendCall } from './sendCall.js';
import type { Soak } from './Soak.js';

const endedStates = ['completed', 'failed', 'cancelled'];

/** Finds accepted jobs that some VM does not show as ended, or as cancelled without a reason. */
export const findUnfinished = async (soak: Soak): Promise<string[]> => {
  const accepted = [...soak.jobs.values()].filter(({ answers }) => answers.includes(200));
  const checks = accepted.flatMap((job) =>
    soak.nodes.map(async ({ id, front }) => {
      const { status, body } = await sendCall(front.port, 'GET', `/b/${job.id}`);
      const state = String(body.state);
      if (status !== 200 || !endedStates.includes(state)) {
        return [`job ${job.id} is ${status} ${state} at ${id}`];
      }
      return state === 'cancelled' && !job.cancelled ? [`job ${job.id} was never cancelled`] : [];
    }),
  );
  return (await Promise.all(checks)).flat();
};
