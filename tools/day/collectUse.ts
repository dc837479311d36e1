import type { LogLine } from './LogLine.js';
import type { UseSlice } from './UseSlice.js';

interface RunSpan {
  from: number;
  until: number;
  gpu: number;
  fate: 'kept' | 'reclaimed' | 'lost';
}

interface Day {
  runs: Map<string, RunSpan>;
  /** Job to the time since which one of its steps waits for room. */
  waiting: Map<string, number>;
  waits: { from: number; until: number }[];
  wholeGpu: number;
}

const secondMs = 1000;

const getRun = ({ fields }: LogLine): string => `${String(fields.task)}/${String(fields.run)}`;

/** Ends a run; the first line about it says what became of it. */
const endRun = (day: Day, line: LogLine, fate: RunSpan['fate']): void => {
  const run = day.runs.get(getRun(line));
  if (!run || run.until !== Number.POSITIVE_INFINITY) return;
  run.until = line.at;
  run.fate = fate;
};

const getLostFate = (cause: unknown): RunSpan['fate'] =>
  cause === 'preempted' ? 'reclaimed' : 'lost';

/** What each line tells of the use of accelerators. */
const handlers: Record<string, (day: Day, line: LogLine) => void> = {
  run_starting: (day, line) => {
    const gpu = Number(line.fields.gpu ?? 0);
    const until = Number.POSITIVE_INFINITY;
    day.runs.set(getRun(line), { from: line.at, until, gpu, fate: 'kept' });
    const id = String(line.fields.requestId);
    const from = day.waiting.get(id);
    if (from === undefined) return;
    day.waits.push({ from, until: line.at });
    day.waiting.delete(id);
  },
  run_stopping: (day, line) => endRun(day, line, getLostFate(line.fields.reason)),
  run_over: (day, line) => endRun(day, line, getLostFate(line.fields.cause)),
  task_done: (day, line) => endRun(day, line, 'kept'),
  step_waiting: (day, line) => {
    day.wholeGpu = Math.max(day.wholeGpu, Number(line.fields.wholeGpu ?? 0));
    const id = String(line.fields.requestId);
    if (!day.waiting.has(id)) day.waiting.set(id, line.at);
  },
  job_ended: (day, line) => {
    day.waiting.delete(String(line.fields.requestId));
  },
};

const computeOverlapMs = (span: { from: number; until: number }, from: number): number =>
  Math.max(0, Math.min(span.until, from + secondMs) - Math.max(span.from, from));

const computeUse = (runs: readonly RunSpan[], fate: RunSpan['fate'], from: number): number =>
  runs
    .filter((run) => run.fate === fate)
    .reduce((sum, run) => sum + (computeOverlapMs(run, from) / secondMs) * run.gpu, 0);

const buildSlice = (day: Day, runs: readonly RunSpan[], from: number): UseSlice => {
  const kept = computeUse(runs, 'kept', from);
  const reclaimed = computeUse(runs, 'reclaimed', from);
  const lost = computeUse(runs, 'lost', from);
  const free = Math.max(0, day.wholeGpu - kept - reclaimed - lost);
  const isWaited = day.waits.some((wait) => computeOverlapMs(wait, from) > 0);
  return {
    second: from / secondMs,
    kept,
    reclaimed,
    lost,
    idleWhileWaited: isWaited ? free : 0,
    idle: isWaited ? 0 : free,
  };
};

/**
 * Follows the use of accelerators through a day, second by second. The number of accelerators is the
 * greatest that a waiting step was told of, so a day in which nothing waits shows no idle ones.
 */
export const collectUse = (lines: readonly LogLine[]): UseSlice[] => {
  const day: Day = { runs: new Map(), waiting: new Map(), waits: [], wholeGpu: 0 };
  lines.forEach((line) => handlers[line.code]?.(day, line));
  const last = lines.at(-1)?.at ?? 0;
  day.waiting.forEach((from) => day.waits.push({ from, until: last }));
  const runs = [...day.runs.values()].map((run) => ({ ...run, until: Math.min(run.until, last) }));
  if (runs.length === 0) return [];
  const begins = [...runs, ...day.waits].map(({ from }) => from);
  const first = Math.floor(Math.min(...begins) / secondMs) * secondMs;
  const seconds = Math.max(0, Math.ceil((last - first) / secondMs));
  return Array.from({ length: seconds }, (_, index) =>
    buildSlice(day, runs, first + index * secondMs),
  );
};
