import { sendClientRequest } from './sendClientRequest.js';
import type { Soak } from './Soak.js';
import type { SoakNode } from './SoakNode.js';
import type { SubmittedJob } from './SubmittedJob.js';

const terminalStates = ['completed', 'failed', 'cancelled'];
// Few enough for each request to be answered within its deadline, also by VMs that share their processors.
const batchSize = 10;

const findUnfinishedJob = async (node: SoakNode, job: SubmittedJob): Promise<string[]> => {
  const { status, body } = await sendClientRequest(node.frontendRelay.port, 'GET', `/b/${job.id}`);
  const state = String(body.state);
  if (status !== 200 || !terminalStates.includes(state)) {
    return [`job ${job.id} is ${status} ${state} at ${node.id}`];
  }
  return state === 'cancelled' && !job.cancelled ? [`job ${job.id} was never cancelled`] : [];
};

const findAtNode = async (node: SoakNode, jobs: readonly SubmittedJob[]): Promise<string[]> => {
  const findings: string[][] = [];
  for (let index = 0; index < jobs.length; index += batchSize) {
    const batch = jobs.slice(index, index + batchSize);
    // eslint-disable-next-line no-await-in-loop -- one batch at a time.
    findings.push(...(await Promise.all(batch.map((job) => findUnfinishedJob(node, job)))));
  }
  return findings.flat();
};

/** Finds accepted jobs that some VM does not report as ended, or reports as cancelled without a request. */
export const findUnfinishedJobs = async (soak: Soak): Promise<string[]> => {
  const accepted = [...soak.jobs.values()].filter(({ statuses }) => statuses.includes(200));
  return (await Promise.all(soak.nodes.map((node) => findAtNode(node, accepted)))).flat();
};
