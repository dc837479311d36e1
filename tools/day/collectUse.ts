import { collectRuns } from './collectRuns.js';
import type { LogLine } from './LogLine.js';
import type { RunSpan } from './RunSpan.js';
import type { UseSlice } from './UseSlice.js';

type Fate = 'kept' | 'reclaimed' | 'lost';

interface Day {
  /** Job to the time since which one of its steps waits for room. */
  waiting: Map<string, number>;
  waits: { from: number; until: number }[];
  wholeGpu: number;
}

const secondMs = 1000;

const getFate = ({ lostTo }: RunSpan): Fate => {
  if (lostTo === null) return 'kept';
  return lostTo === 'preempted' ? 'reclaimed' : 'lost';
};

/** What each line tells of the work that waits. */
const handlers: Record<string, (day: Day, line: LogLine) => void> = {
  run_starting: (day, line) => {
    const id = String(line.fields.requestId);
    const from = day.waiting.get(id);
    if (from === undefined) return;
    day.waits.push({ from, until: line.at });
    day.waiting.delete(id);
  },
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

const computeUse = (runs: readonly RunSpan[], fate: Fate, from: number): number =>
  runs
    .filter((run) => getFate(run) === fate)
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
  const day: Day = { waiting: new Map(), waits: [], wholeGpu: 0 };
  lines.forEach((line) => handlers[line.code]?.(day, line));
  const last = lines.at(-1)?.at ?? 0;
  day.waiting.forEach((from) => day.waits.push({ from, until: last }));
  const runs = collectRuns(lines).map((run) => ({ ...run, until: Math.min(run.until, last) }));
  if (runs.length === 0) return [];
  const begins = [...runs, ...day.waits].map(({ from }) => from);
  const first = Math.floor(Math.min(...begins) / secondMs) * secondMs;
  const seconds = Math.max(0, Math.ceil((last - first) / secondMs));
  return Array.from({ length: seconds }, (_, index) =>
    buildSlice(day, runs, first + index * secondMs),
  );
};
