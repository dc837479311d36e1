import { waitMs } from '../office/waitMs.js';
import { faultHandlers } from './faultHandlers.js';
import { findBrokenPromises } from './findBrokenPromises.js';
import { findUnfinished } from './findUnfinished.js';
import type { Soak } from './Soak.js';
import { startSoak } from './startSoak.js';
import { stopSoak } from './stopSoak.js';
import { submitJob } from './submitJob.js';

interface SoakOptions {
  seed: number;
  /** How long clients and faults go on. */
  playMs: number;
  nodes?: number;
  workers?: number;
}

interface SoakReport {
  seed: number;
  jobs: number;
  accepted: number;
  faults: string[];
  broken: string[];
  /** Last lines of each daemon, for a failure. */
  logs: Record<string, string[]>;
}

const readyMs = 3000;
const shortestPauseMs = 200;
const longestPauseMs = 1800;
const shortestFaultMs = 300;
const longestFaultMs = 4500;
const jobEveryMs = 150;
// Leases, pauses of workers and what waits, one after the other.
const settleMs = 45_000;
const checkEveryMs = 1000;

const chooseMs = ({ random }: Soak, least: number, most: number): number =>
  Math.round(least + random() * (most - least));

const beginFaults = async (soak: Soak, until: number): Promise<void> => {
  const kinds = Object.keys(faultHandlers);
  while (performance.now() < until) {
    const kind = kinds[Math.floor(soak.random() * kinds.length)]!;
    const lastsMs = chooseMs(soak, shortestFaultMs, longestFaultMs);
    soak.faults.push(`${kind} ${lastsMs} ms`);
    // Faults overlap; each ends by itself.
    soak.pending.push(faultHandlers[kind]!(soak, lastsMs));
    // eslint-disable-next-line no-await-in-loop -- the pause before the next fault.
    await waitMs(chooseMs(soak, shortestPauseMs, longestPauseMs));
  }
};

const submitJobs = async (soak: Soak, until: number): Promise<void> => {
  const jobs: Promise<void>[] = [];
  while (performance.now() < until) {
    jobs.push(submitJob(soak));
    // eslint-disable-next-line no-await-in-loop -- the pause before the next job.
    await waitMs(jobEveryMs);
  }
  await Promise.all(jobs);
};

const waitSettled = async (soak: Soak): Promise<void> => {
  const until = performance.now() + settleMs;
  // eslint-disable-next-line no-await-in-loop -- each check follows the one before.
  while (performance.now() < until && (await findUnfinished(soak)).length > 0) {
    // eslint-disable-next-line no-await-in-loop -- the pause between two checks.
    await waitMs(checkEveryMs);
  }
};

const buildReport = (soak: Soak, seed: number, broken: string[]): SoakReport => ({
  seed,
  jobs: soak.jobs.size,
  accepted: [...soak.jobs.values()].filter(({ answers }) => answers.includes(200)).length,
  faults: soak.faults,
  broken,
  logs: Object.fromEntries(soak.nodes.map(({ id, process: { lines } }) => [id, lines])),
});

/** Plays one seed: real programs, faults from outside, then a check of the promises. */
export const playSoak = async (options: SoakOptions): Promise<SoakReport> => {
  const { seed, playMs, nodes = 3, workers = 6 } = options;
  const soak = await startSoak({ seed, nodes, workers });
  const stopAtSignal = (): void => {
    stopSoak(soak).finally(() => process.exit(1));
  };
  process.once('SIGINT', stopAtSignal).once('SIGTERM', stopAtSignal);
  try {
    await waitMs(readyMs);
    const until = performance.now() + playMs;
    await Promise.all([submitJobs(soak, until), beginFaults(soak, until)]);
    await Promise.all(soak.pending);
    await waitSettled(soak);
    return buildReport(soak, seed, await findBrokenPromises(soak));
  } finally {
    process.off('SIGINT', stopAtSignal).off('SIGTERM', stopAtSignal);
    await stopSoak(soak);
  }
};
