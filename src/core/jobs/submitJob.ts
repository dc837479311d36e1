import { answerCommand } from '../commands/answerCommand.js';
import type { CommandHandler } from '../commands/CommandHandler.js';
import type { Effect } from '../Effect.js';
import { isLead } from '../ownership/isLead.js';
import type { Refusal } from '../Refusal.js';
import { createRefusal } from '../createRefusal.js';
import { replicateChanges } from '../replication/replicateChanges.js';
import type { State } from '../State.js';
import { addJob } from './addJob.js';
import { answerSubmissions } from './answerSubmissions.js';
import { checkSubmission } from './checkSubmission.js';
import { createJob } from './createJob.js';
import { describeJob } from './describeJob.js';
import type { Job } from './Job.js';
import { queueJob } from './queueJob.js';
import { refuseCommand } from './refuseCommand.js';
import { scheduleJobs } from './scheduleJobs.js';

type Request = Parameters<CommandHandler<'submitJob'>>[1];

// A new lead claims the workers of a dead one in about this time.
const retryAfterMs = 1000;

const acceptJob = (state: State, job: Job, at: number): Effect[] => {
  addJob(state.jobs, job);
  queueJob(state, job, at);
  const record = { kind: 'jobSubmitted', id: `${job.id}/jobSubmitted`, job } as const;
  // A copy, because the job is changed in place before the record is sent.
  const records = [structuredClone(record)];
  return [{ type: 'emit', event: { type: 'usageNoted', records } }, ...replicateChanges(state, at)];
};

const findRefusal = (state: State, { at, command }: Request): Refusal | null => {
  if (!state.settings.inForce) return createRefusal('no-settings', 'not-run', retryAfterMs);
  if (!isLead(state, at)) return createRefusal('no-lead', 'not-run', retryAfterMs);
  const known = state.jobs.jobs.get(command.jobId);
  if (known && known.workspace !== command.workspace) {
    return { ...createRefusal('bad-request'), detail: 'the job id is in use' };
  }
  const zone = command.zone ?? state.self.zone;
  return known ? null : checkSubmission(state, command.workspace, zone, command.spec);
};

/**
 * Queues a submitted job and answers once the zone's other schedulers have a copy. A repeated
 * submission is answered with the existing job. Cost: that of `scheduleJobs`.
 */
export const submitJob: CommandHandler<'submitJob'> = (state, request) => {
  const { requestId, from, at, wall, command } = request;
  const refusal = findRefusal(state, request);
  if (refusal) return refuseCommand(request, refusal);
  const { jobId, workspace, spec } = command;
  const known = state.jobs.jobs.get(jobId);
  if (known && !state.jobs.pendingSubmissions.some((pending) => pending.jobId === jobId)) {
    return [answerCommand(from, requestId, { ok: true, data: describeJob(known) })];
  }
  const { zone } = state.self;
  const job =
    known ?? createJob({ id: jobId, workspace, zone, spec, submittedWall: wall, phaseAt: at });
  const accepted = known ? [] : acceptJob(state, job, at);
  const { sequence } = state.replication;
  const deadlineAt = at + state.timing.commandTimeoutMs;
  state.jobs.pendingSubmissions.push({ requestId, from, jobId, sequence, deadlineAt });
  const started = known ? [] : scheduleJobs(state, { at, wall });
  return [...accepted, ...started, ...answerSubmissions(state, at)];
};
