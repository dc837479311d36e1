import type { LogLine } from './LogLine.js';
import type { RunSpan } from './RunSpan.js';

const buildRunKey = ({ fields }: LogLine): string => `${String(fields.task)}/${String(fields.run)}`;

/** Ends a run; only the first line about its end counts. */
const endRun = (runs: Map<string, RunSpan>, line: LogLine, lossCause: string | null): void => {
  const run = runs.get(buildRunKey(line));
  if (!run || run.until !== Number.POSITIVE_INFINITY) return;
  run.until = line.at;
  run.lossCause = lossCause;
};

/** Handlers that update the runs from a line, by log code. */
const handlers: Record<string, (runs: Map<string, RunSpan>, line: LogLine) => void> = {
  run_starting: (runs, line) => {
    runs.set(buildRunKey(line), {
      requestId: String(line.fields.requestId),
      from: line.at,
      until: Number.POSITIVE_INFINITY,
      gpu: Number(line.fields.gpu ?? 0),
      lossCause: null,
    });
  },
  run_stopping: (runs, line) => endRun(runs, line, String(line.fields.reason)),
  run_over: (runs, line) => endRun(runs, line, String(line.fields.cause)),
  task_done: (runs, line) => endRun(runs, line, null),
};

/** Collects the start and end of each run from the log lines. */
export const collectRuns = (lines: readonly LogLine[]): RunSpan[] => {
  const runs = new Map<string, RunSpan>();
  lines.forEach((line) => handlers[line.code]?.(runs, line));
  return [...runs.values()];
};
