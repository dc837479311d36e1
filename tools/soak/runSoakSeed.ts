import { readClock } from '../../standins/shared/readClock.js';
import { waitMs } from '../cluster/waitMs.js';
import { chooseOne } from './chooseOne.js';
import { chooseMs } from './chooseMs.js';
import type { FaultSpan } from './FaultSpan.js';
import type { FaultHandler } from './FaultHandler.js';
import { findViolations } from './findViolations.js';
import { findUnfinishedJobs } from './findUnfinishedJobs.js';
import type { LoadSample } from './LoadSample.js';
import type { LoadSummary } from './LoadSummary.js';
import { measureLoad } from './measureLoad.js';
import type { Soak } from './Soak.js';
import type { SoakFindings } from './SoakFindings.js';
import type { SoakProfile } from './SoakProfile.js';
import { soakProfiles } from './soakProfiles.js';
import { startSoak } from './startSoak.js';
import { stopSoak } from './stopSoak.js';
import { submitJob } from './submitJob.js';

interface SoakOptions {
  seed: number;
  /** Duration of the client load and the faults. */
  loadDurationMs: number;
  nodes?: number;
  workers?: number;
  profile?: SoakProfile;
  /** Longest time between the beginnings of two faults; null injects none. */
  maxFaultGapMs?: number | null;
}

interface SoakReport extends SoakFindings {
  seed: number;
  jobs: number;
  accepted: number;
  /** Cancels by the status of their final answer. */
  cancels: Record<string, number>;
  /** Injected faults, with their time spans. */
  faults: FaultSpan[];
  /** Difference of the wall clock to the monotonic one, for the times of faults and runs. */
  wallOffsetMs: number;
  /** How busy the machine and the store stand-in were. */
  load: LoadSummary;
  loadSamples: LoadSample[];
  /** Last log lines of each daemon and of the store stand-in, for diagnosis. */
  logs: Record<string, string[]>;
}

const minStartupWaitMs = 3000;
const startupWaitPerWorkerMs = 200;
const minFaultGapMs = 200;
const defaultMaxFaultGapMs = 1800;
const minFaultMs = 300;
const maxFaultMs = 4500;
// Covers leases, quarantines of workers and the backlog, one after another.
const settleTimeoutMs = 45_000;
const checkIntervalMs = 1000;

const injectFaults = async (
  soak: Soak,
  handlers: readonly FaultHandler[],
  until: number,
  maxFaultGapMs: number,
): Promise<void> => {
  while (performance.now() < until) {
    const handler = chooseOne(soak, handlers);
    const durationMs = chooseMs(soak, minFaultMs, maxFaultMs);
    // Faults overlap, so this one is not awaited here.
    const fault = handler(soak, durationMs);
    soak.pendingFaults.push(fault);
    // A fault that fails is thrown where all are awaited, before the processes are stopped.
    fault.catch(() => {});
    // eslint-disable-next-line no-await-in-loop -- delay before the next fault.
    await waitMs(chooseMs(soak, minFaultGapMs, maxFaultGapMs));
  }
};

const submitJobs = async (soak: Soak, until: number): Promise<void> => {
  const jobs: Promise<void>[] = [];
  while (performance.now() < until) {
    jobs.push(submitJob(soak));
    // eslint-disable-next-line no-await-in-loop -- delay before the next job.
    await waitMs(soak.jobMix.jobIntervalPerWorkerMs / soak.workers.length);
  }
  await Promise.all(jobs);
};

const waitForJobs = async (soak: Soak): Promise<void> => {
  const until = performance.now() + settleTimeoutMs;
  // eslint-disable-next-line no-await-in-loop -- checks are sequential.
  while (performance.now() < until && (await findUnfinishedJobs(soak)).length > 0) {
    // eslint-disable-next-line no-await-in-loop -- delay between checks.
    await waitMs(checkIntervalMs);
  }
};

const countCancels = ({ jobs }: Soak): Record<string, number> => {
  const counts: Record<string, number> = {};
  jobs.forEach(({ cancelAnswer }) => {
    if (!cancelAnswer) return;
    counts[cancelAnswer.status] = (counts[cancelAnswer.status] ?? 0) + 1;
  });
  return counts;
};

const collectLogs = ({ nodes, store }: Soak): Record<string, string[]> =>
  Object.fromEntries([
    ...nodes.map(({ id, formerLines, process: { lines } }) => [id, [...formerLines, ...lines]]),
    ['store', store.process.lines],
  ]);

const buildReport = (soak: Soak, seed: number, findings: SoakFindings): SoakReport => ({
  seed,
  jobs: soak.jobs.size,
  accepted: [...soak.jobs.values()].filter(({ statuses }) => statuses.includes(200)).length,
  cancels: countCancels(soak),
  faults: soak.faults,
  ...findings,
  wallOffsetMs: readClock().wall - readClock().at,
  load: measureLoad(soak.loadSamples, soak.store.process.lines),
  loadSamples: soak.loadSamples,
  logs: collectLogs(soak),
});

/** Runs the soak test for one seed: load and faults on the real programs, then a check of the guarantees. */
export const runSoakSeed = async (options: SoakOptions): Promise<SoakReport> => {
  const { seed, loadDurationMs, nodes = 3, workers = 6, profile = 'mixed' } = options;
  const { maxFaultGapMs = defaultMaxFaultGapMs } = options;
  const { handlers, jobs: jobMix } = soakProfiles[profile];
  const soak = await startSoak({ seed, nodes, workers, jobMix });
  const stopAtSignal = (): void => {
    stopSoak(soak).finally(() => process.exit(1));
  };
  process.once('SIGINT', stopAtSignal).once('SIGTERM', stopAtSignal);
  try {
    await waitMs(Math.max(minStartupWaitMs, workers * startupWaitPerWorkerMs));
    const until = performance.now() + loadDurationMs;
    const faults =
      maxFaultGapMs === null ? null : injectFaults(soak, handlers, until, maxFaultGapMs);
    await Promise.all([submitJobs(soak, until), faults]);
    await Promise.all(soak.pendingFaults);
    await waitForJobs(soak);
    return buildReport(soak, seed, await findViolations(soak));
  } finally {
    process.off('SIGINT', stopAtSignal).off('SIGTERM', stopAtSignal);
    await stopSoak(soak);
  }
};
