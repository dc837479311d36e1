import os from 'node:os';
import { readClock } from '../../standins/shared/readClock.js';
import type { LoadSample } from './LoadSample.js';

const sampleIntervalMs = 1000;
const microsecondsPerMs = 1000;

interface ProcessorTimes {
  idleMs: number;
  totalMs: number;
}

const readProcessorTimes = (): ProcessorTimes => {
  const processors = os.cpus().map(({ times }) => times);
  const totals = processors.flatMap((times) => Object.values(times));
  return {
    idleMs: processors.reduce((sum, { idle }) => sum + idle, 0),
    totalMs: totals.reduce((sum, ms) => sum + ms, 0),
  };
};

const computeBusyShare = (before: ProcessorTimes, after: ProcessorTimes): number => {
  const totalMs = after.totalMs - before.totalMs;
  return totalMs > 0 ? 1 - (after.idleMs - before.idleMs) / totalMs : 0;
};

/** Adds a sample of the machine's load each second; returns the timer that does. */
export const recordLoad = (samples: LoadSample[]): NodeJS.Timeout => {
  let times = readProcessorTimes();
  let { at: previousAt } = readClock();
  let usage = process.cpuUsage();
  return setInterval(() => {
    const { at, wall } = readClock();
    const newTimes = readProcessorTimes();
    const { user, system } = process.cpuUsage(usage);
    samples.push({
      time: new Date(wall).toISOString(),
      busyShare: Number(computeBusyShare(times, newTimes).toFixed(2)),
      loadAverage: Number(os.loadavg()[0]!.toFixed(1)),
      lagMs: Math.max(0, Math.round(at - previousAt - sampleIntervalMs)),
      cpuMs: Math.round((user + system) / microsecondsPerMs),
    });
    times = newTimes;
    previousAt = at;
    usage = process.cpuUsage();
  }, sampleIntervalMs);
};
