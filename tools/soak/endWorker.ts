import { readClock } from '../../standins/shared/readClock.js';
import { readJournal } from './readJournal.js';
import type { SoakWorker } from './SoakWorker.js';

/** Kills a worker; runs in progress are lost. */
export const endWorker = async (worker: SoakWorker): Promise<void> => {
  const runs = await readJournal(worker);
  worker.registration.sendsHeartbeats = false;
  worker.process.signal('SIGKILL');
  await worker.process.exited;
  const { at } = readClock();
  const endedRuns = runs.map((run) =>
    run.endedAt === null ? { ...run, endedAt: at, kind: 'gone' as const } : run,
  );
  worker.formerRuns.push(...endedRuns);
};
