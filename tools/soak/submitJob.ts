import { waitMs } from '../cluster/waitMs.js';
import { cancelJob } from './cancelJob.js';
import { chooseClientCancel } from './chooseClientCancel.js';
import { chooseNode } from './chooseNode.js';
import type { ClientCancel } from './ClientCancel.js';
import { createJobBody } from './createJobBody.js';
import { sendClientRequest } from './sendClientRequest.js';
import type { Soak } from './Soak.js';
import type { SubmittedJob } from './SubmittedJob.js';

// Every other client gives up soon, so that some jobs are refused for good; the others outlast any chain of faults.
const maxAttempts = { impatient: 5, patient: 40, leaving: 1 } as const;
const retryDelayMs = 1000;
const idDigits = 16;
// Clients that cancel together do it at multiples of this time.
const cancelWaveMs = 2000;
// A copy of a submission that arrives late, as after an answer that was lost.
const lateCopyProbability = 0.1;
const maxLateCopyMs = 4000;

interface Submission {
  job: SubmittedJob;
  path: string;
  body: unknown;
}

const sendSubmission = async (
  soak: Soak,
  { job, path, body }: Submission,
  timeoutMs?: number,
): Promise<void> => {
  const { port } = chooseNode(soak).frontendRelay;
  const { status } = await sendClientRequest(port, 'POST', path, body, timeoutMs);
  job.statuses.push(status);
};

const sendUntilAccepted = async (soak: Soak, submission: Submission): Promise<void> => {
  const { client, statuses } = submission.job;
  while (statuses.length < maxAttempts[client] && !statuses.includes(200)) {
    // eslint-disable-next-line no-await-in-loop -- attempts are sequential.
    await sendSubmission(soak, submission);
    // eslint-disable-next-line no-await-in-loop -- delay between attempts.
    if (!statuses.includes(200)) await waitMs(retryDelayMs);
  }
};

const sendLateCopy = async (soak: Soak, submission: Submission): Promise<void> => {
  // A client that was refused for good sends no copies.
  if (!submission.job.statuses.includes(200) || soak.random() >= lateCopyProbability) return;
  await waitMs(soak.random() * maxLateCopyMs);
  await sendSubmission(soak, submission);
};

const waitForCancel = async (cancel: ClientCancel): Promise<void> => {
  if (cancel.type === 'afterAnswer') await waitMs(cancel.afterMs);
  if (cancel.type === 'inWave') await waitMs(cancelWaveMs - (performance.now() % cancelWaveMs));
};

/** Submits a job until it is accepted or its client gives up, and cancels it if its client does so. */
export const submitJob = async (soak: Soak): Promise<void> => {
  const id = (soak.jobs.size + 1).toString(16).padStart(idDigits, '0');
  const cancel = chooseClientCancel(soak);
  const stayingClient = soak.jobs.size % 2 === 0 ? 'patient' : 'impatient';
  const client = cancel.type === 'beforeAnswer' ? 'leaving' : stayingClient;
  const job: SubmittedJob = { id, client, statuses: [], cancelled: false, cancelAnswer: null };
  soak.jobs.set(id, job);
  const path = `/${soak.random() < 0.5 ? 'u' : 'b'}/${id}`;
  const submission = { job, path, body: createJobBody(soak) };
  if (cancel.type === 'beforeAnswer') await sendSubmission(soak, submission, cancel.afterMs);
  else await sendUntilAccepted(soak, submission);
  const lateCopy = sendLateCopy(soak, submission);
  if (cancel.type !== 'none') {
    await waitForCancel(cancel);
    await cancelJob(soak, job, path);
  }
  await lateCopy;
};
