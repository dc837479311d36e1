import type { JobTrace } from './JobTrace.js';
import type { LogLine } from './LogLine.js';

type Handler = (job: JobTrace, line: LogLine, runs: Map<string, number>) => void;

const getRun = ({ fields }: LogLine): string => `${String(fields.task)}/${String(fields.run)}`;

/** A run that ends before its task is done; the first line about it counts. */
const noteLost =
  (causeField: 'reason' | 'cause'): Handler =>
  (job, line, runs) => {
    const startedAt = runs.get(getRun(line));
    if (startedAt === undefined) return;
    runs.delete(getRun(line));
    job.lost.push({ cause: String(line.fields[causeField]), ranMs: line.at - startedAt });
  };

/** What each line tells of its job. */
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
    job.waitedGuaranteed ??= fields.guaranteed === true;
  },
  run_starting: (job, line, runs) => {
    job.firstStartAt ??= line.at;
    runs.set(getRun(line), line.at);
  },
  run_stopping: noteLost('reason'),
  run_over: noteLost('cause'),
  job_ended: (job, { at, fields }) => {
    job.endedAt ??= at;
    job.outcome ??= String(fields.outcome);
    job.queue ??= String(fields.queue);
  },
};

/** Follows each job through the lines. */
export const collectTraces = (lines: readonly LogLine[]): JobTrace[] => {
  const jobs = new Map<string, JobTrace>();
  const runs = new Map<string, number>();
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
      waitedGuaranteed: null,
      lost: [],
    };
    jobs.set(id, job);
    handler(job, line, runs);
  });
  return [...jobs.values()];
};
