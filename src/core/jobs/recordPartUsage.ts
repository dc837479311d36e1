import type { Effect } from '../Effect.js';
import type { UsageRecord } from '../usage/UsageRecord.js';
import type { Job } from './Job.js';
import type { JobPart } from './JobPart.js';

type Span =
  | { kind: 'taskStarted' | 'taskEnded'; wall: number }
  | { kind: 'taskUnknown'; fromWall: number; toWall: number };

/** Builds the effect that records the start, the end or the unknown use of a part. */
export const recordPartUsage = (job: Job, part: JobPart, span: Span): Effect => {
  const record: UsageRecord = {
    ...span,
    id: `${job.id}/${job.attempt}/${part.index}/${span.kind}`,
    workspace: job.workspace,
    jobId: job.id,
    taskId: part.taskId,
    workerId: part.workerId,
    accelerators: job.spec.acceleratorsPerTask,
  };
  return { type: 'emit', event: { type: 'usageNoted', records: [record] } };
};
