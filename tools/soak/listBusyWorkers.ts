import { readClock } from '../../standins/shared/readClock.js';
import type { JournalRun } from './JournalRun.js';
import { readJournal } from './readJournal.js';
import type { Soak } from './Soak.js';
import type { SoakWorker } from './SoakWorker.js';

const readRunsInProgress = async (worker: SoakWorker): Promise<JournalRun[]> => {
  try {
    return (await readJournal(worker)).filter(({ endedAt }) => endedAt === null);
  } catch {
    // It is ending at this moment.
    return [];
  }
};

/** Lists the workers without a fault in progress, those with the longest work ahead first. */
export const listBusyWorkers = async (soak: Soak): Promise<SoakWorker[]> => {
  const { at } = readClock();
  const measureWork = async (worker: SoakWorker) => {
    const runs = await readRunsInProgress(worker);
    return { worker, workMs: Math.max(0, ...runs.map(({ dueAt }) => dueAt - at)) };
  };
  const idle = soak.workers.filter(({ faultInProgress }) => !faultInProgress);
  const measured = await Promise.all(idle.map(measureWork));
  return measured
    .sort((left, right) => right.workMs - left.workMs)
    .map(({ worker }) => worker)
    .filter(({ faultInProgress }) => !faultInProgress);
};
