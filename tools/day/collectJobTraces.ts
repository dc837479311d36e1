import { collectRuns } from './collectRuns.js';
import type { JobTrace } from './JobTrace.js';
import type { LogLine } from './LogLine.js';

type Handler = (job: JobTrace, line: LogLine) => void;

/** Handlers that update a job from a line, by log code. */
const handlers: Record<string, Handler> = {
  request_recorded: (job, { at, fields }) => {
    if (fields.record !== 'submission' || job.recordedAt !== null) return;
    job.recordedAt = at;
    job.queue = String(fields.queue);
    job.workspace = String(fields.workspace);
    job.zone = String(fields.zone);
    job.gpu = Number(fields.gpu);
  },
  step_waiting: (job, { fields }) => {
    job.firstWaitGuaranteed ??= fields.guaranteed === true;
  },
  run_starting: (job, { at }) => {
    job.firstStartAt ??= at;
  },
  job_ended: (job, { at, fields }) => {
    job.endedAt ??= at;
    job.outcome ??= String(fields.outcome);
    job.queue ??= String(fields.queue);
  },
};

/** Collects the history of each job from the log lines. */
export const collectJobTraces = (lines: readonly LogLine[]): JobTrace[] => {
  const jobs = new Map<string, JobTrace>();
  lines.forEach((line) => {
    const handler = handlers[line.code];
    const id = line.fields.requestId;
    if (!handler || typeof id !== 'string') return;
    const job = jobs.get(id) ?? {
      id,
      queue: null,
      workspace: null,
      zone: null,
      gpu: null,
      recordedAt: null,
      firstStartAt: null,
      endedAt: null,
      outcome: null,
      firstWaitGuaranteed: null,
      lostRuns: [],
    };
    jobs.set(id, job);
    handler(job, line);
  });
  collectRuns(lines).forEach(({ requestId, from, until, lossCause }) => {
    if (lossCause !== null)
      jobs.get(requestId)?.lostRuns.push({ cause: lossCause, ranMs: until - from });
  });
  return [...jobs.values()];
};
