import { collectRuns } from './collectRuns.js';
import type { LogLine } from './LogLine.js';
import type { RunSpan } from './RunSpan.js';
import type { UtilizationSlice } from './UtilizationSlice.js';

type RunOutcome = 'productive' | 'reclaimed' | 'lost';

interface Timeline {
  /** Time since which a step of the job has been waiting for capacity, by job ID. */
  waitingSince: Map<string, number>;
  waitSpans: { from: number; until: number }[];
  totalAccelerators: number;
}

const msPerSecond = 1000;

const getRunOutcome = ({ lossCause }: RunSpan): RunOutcome => {
  if (lossCause === null) return 'productive';
  return lossCause === 'preempted' ? 'reclaimed' : 'lost';
};

/** Handlers that update the waiting times from a line, by log code. */
const handlers: Record<string, (timeline: Timeline, line: LogLine) => void> = {
  run_starting: (timeline, line) => {
    const id = String(line.fields.requestId);
    const from = timeline.waitingSince.get(id);
    if (from === undefined) return;
    timeline.waitSpans.push({ from, until: line.at });
    timeline.waitingSince.delete(id);
  },
  step_waiting: (timeline, line) => {
    timeline.totalAccelerators = Math.max(
      timeline.totalAccelerators,
      Number(line.fields.wholeGpu ?? 0),
    );
    const id = String(line.fields.requestId);
    if (!timeline.waitingSince.has(id)) timeline.waitingSince.set(id, line.at);
  },
  job_ended: (timeline, line) => {
    timeline.waitingSince.delete(String(line.fields.requestId));
  },
};

const computeOverlapMs = (span: { from: number; until: number }, from: number): number =>
  Math.max(0, Math.min(span.until, from + msPerSecond) - Math.max(span.from, from));

const computeAcceleratorSeconds = (
  runs: readonly RunSpan[],
  outcome: RunOutcome,
  from: number,
): number =>
  runs
    .filter((run) => getRunOutcome(run) === outcome)
    .reduce((sum, run) => sum + (computeOverlapMs(run, from) / msPerSecond) * run.gpu, 0);

const buildSlice = (
  timeline: Timeline,
  runs: readonly RunSpan[],
  from: number,
): UtilizationSlice => {
  const productive = computeAcceleratorSeconds(runs, 'productive', from);
  const reclaimed = computeAcceleratorSeconds(runs, 'reclaimed', from);
  const lost = computeAcceleratorSeconds(runs, 'lost', from);
  const unused = Math.max(0, timeline.totalAccelerators - productive - reclaimed - lost);
  const isWaiting = timeline.waitSpans.some((span) => computeOverlapMs(span, from) > 0);
  return {
    second: from / msPerSecond,
    productive,
    reclaimed,
    lost,
    idleWhileWaiting: isWaiting ? unused : 0,
    idle: isWaiting ? 0 : unused,
  };
};

/**
 * Computes the use of accelerators in each second of a day. The number of accelerators is the highest
 * that was logged for a waiting step, so a day without waiting steps shows no idle accelerators.
 */
export const computeUtilization = (lines: readonly LogLine[]): UtilizationSlice[] => {
  const timeline: Timeline = { waitingSince: new Map(), waitSpans: [], totalAccelerators: 0 };
  lines.forEach((line) => handlers[line.code]?.(timeline, line));
  const lastAt = lines.at(-1)?.at ?? 0;
  timeline.waitingSince.forEach((from) => timeline.waitSpans.push({ from, until: lastAt }));
  const runs = collectRuns(lines).map((run) => ({ ...run, until: Math.min(run.until, lastAt) }));
  if (runs.length === 0) return [];
  const startTimes = [...runs, ...timeline.waitSpans].map(({ from }) => from);
  const firstAt = Math.floor(Math.min(...startTimes) / msPerSecond) * msPerSecond;
  const seconds = Math.max(0, Math.ceil((lastAt - firstAt) / msPerSecond));
  return Array.from({ length: seconds }, (_, index) =>
    buildSlice(timeline, runs, firstAt + index * msPerSecond),
  );
};
