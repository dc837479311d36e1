import { createRandom } from '../createRandom.js';
import { workspaceWeights } from '../requests/workspaceWeights.js';
import type { GeneratedJob } from './GeneratedJob.js';
import { zoneSize } from './zoneSize.js';

const maxSmallJobAccelerators = 3;
const wholeWorkerShare = 0.1;
const runSeconds = { min: 5, max: 40 };

/** Maps a uniform random number to the ratio of a job's declared run time to its true one. */
type GetDeclaredFactor = (random: number) => number;

/**
 * Generates background load as a Poisson process: jobs of 1 to 3 accelerators, and some that fill
 * a whole worker. Together they demand `load` times the zone's accelerators.
 */
export const buildBackgroundJobs = (
  seed: number,
  durationMs: number,
  load: number,
  getDeclaredFactor: GetDeclaredFactor,
): GeneratedJob[] => {
  const random = createRandom(seed);
  const workspaceNames = Object.keys(workspaceWeights);
  const meanAccelerators =
    wholeWorkerShare * zoneSize.acceleratorsPerWorker +
    (1 - wholeWorkerShare) * ((1 + maxSmallJobAccelerators) / 2);
  const meanRunMs = ((runSeconds.min + runSeconds.max) / 2) * 1000;
  const zoneAccelerators = zoneSize.workers * zoneSize.acceleratorsPerWorker;
  const jobsPerMs = (load * zoneAccelerators) / (meanAccelerators * meanRunMs);
  const jobs: GeneratedJob[] = [];
  for (let at = -Math.log(1 - random()) / jobsPerMs; at < durationMs;) {
    const isWholeWorker = random() < wholeWorkerShare;
    const smallJobTasks = 1 + Math.floor(random() * maxSmallJobAccelerators);
    const runMs = Math.round(
      1000 * (runSeconds.min + random() * (runSeconds.max - runSeconds.min)),
    );
    jobs.push({
      id: `j${jobs.length}`,
      arrivalAt: at,
      workspace: workspaceNames[Math.floor(random() * workspaceNames.length)]!,
      spec: {
        tasks: isWholeWorker ? zoneSize.acceleratorsPerWorker : smallJobTasks,
        acceleratorsPerTask: 1,
        adjacency: 'worker',
        declaredMs: Math.max(1, Math.round(runMs * getDeclaredFactor(random()))),
        preemptible: false,
        urgent: false,
        payload: '',
      },
      runMs,
      group: isWholeWorker ? 'whole-worker' : 'small',
    });
    at += -Math.log(1 - random()) / jobsPerMs;
  }
  return jobs;
};
