import { answerCommand } from '../commands/answerCommand.js';
import type { CommandHandler } from '../commands/CommandHandler.js';
import type { Effect } from '../Effect.js';
import { isLead } from '../ownership/isLead.js';
import type { Refusal } from '../Refusal.js';
import type { State } from '../State.js';
import { addJob } from './addJob.js';
import { checkSubmission } from './checkSubmission.js';
import { createJob } from './createJob.js';
import { describeJob } from './describeJob.js';
import type { Job } from './Job.js';
import { queueJob } from './queueJob.js';
import { scheduleJobs } from './scheduleJobs.js';

const acceptJob = (state: State, job: Job, at: number): Effect[] => {
  addJob(state.jobs, job);
  queueJob(state, job, at);
  const record = { kind: 'jobSubmitted', id: `${job.id}/jobSubmitted`, job } as const;
  return [{ type: 'emit', event: { type: 'usageNoted', records: [structuredClone(record)] } }];
};

const findRefusal = (state: State, at: number): Refusal | null => {
  if (!state.settings.inForce) return { reason: 'no-settings', outcome: 'not-run' };
  return isLead(state, at) ? null : { reason: 'no-lead', outcome: 'not-run' };
};

/**
 * Accepts a job into the queue; a repeated submission is answered with the existing job.
 * Cost: that of `scheduleJobs`.
 */
export const submitJob: CommandHandler<'submitJob'> = (
  state,
  { requestId, from, at, wall, command },
) => {
  const refuse = (refusal: Refusal): Effect[] => [
    { type: 'countRefusal', reason: refusal.reason },
    answerCommand(from, requestId, { ok: false, refusal }),
  ];
  const { jobId: id, workspace, spec } = command;
  const zone = command.zone ?? state.self.zone;
  const existing = state.jobs.jobs.get(id);
  if (existing?.workspace === workspace) {
    return [answerCommand(from, requestId, { ok: true, data: describeJob(existing) })];
  }
  if (existing) {
    return refuse({ reason: 'bad-request', outcome: 'not-run', detail: 'the job id is in use' });
  }
  const refusal = findRefusal(state, at) ?? checkSubmission(state, workspace, zone, spec);
  if (refusal) return refuse(refusal);
  const job = createJob({ id, workspace, zone, spec, submittedWall: wall, phaseAt: at });
  const accepted = acceptJob(state, job, at);
  const started = scheduleJobs(state, { at, wall });
  const answer = answerCommand(from, requestId, { ok: true, data: describeJob(job) });
  return [...accepted, ...started, answer];
};
