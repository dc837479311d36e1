import { createRandom } from '../createRandom.js';
import { workspaceWeights } from '../requests/workspaceWeights.js';
import type { GeneratedJob } from './GeneratedJob.js';
import { zoneSize } from './zoneSize.js';

const maxSmall = 3;
const wholeWorkerShare = 0.1;
const runSeconds = { min: 5, max: 40 };

/** Factor between the declared and the true run time of a job, from a uniform random number. */
type DeclaredFactor = (random: number) => number;

/**
 * Draws small jobs of 1 to 3 accelerators, and some of a whole worker, from a Poisson process that
 * offers `load` times the zone's accelerators.
 */
export const buildBackgroundJobs = (
  seed: number,
  durationMs: number,
  load: number,
  getFactor: DeclaredFactor,
): GeneratedJob[] => {
  const random = createRandom(seed);
  const names = Object.keys(workspaceWeights);
  const meanSize =
    wholeWorkerShare * zoneSize.acceleratorsPerWorker +
    (1 - wholeWorkerShare) * ((1 + maxSmall) / 2);
  const meanRunMs = ((runSeconds.min + runSeconds.max) / 2) * 1000;
  const capacity = zoneSize.workers * zoneSize.acceleratorsPerWorker;
  const rate = (load * capacity) / (meanSize * meanRunMs);
  const jobs: GeneratedJob[] = [];
  for (let at = -Math.log(1 - random()) / rate; at < durationMs;) {
    const isWhole = random() < wholeWorkerShare;
    const small = 1 + Math.floor(random() * maxSmall);
    const runMs = Math.round(
      1000 * (runSeconds.min + random() * (runSeconds.max - runSeconds.min)),
    );
    jobs.push({
      id: `j${jobs.length}`,
      arrivalAt: at,
      workspace: names[Math.floor(random() * names.length)]!,
      spec: {
        tasks: isWhole ? zoneSize.acceleratorsPerWorker : small,
        acceleratorsPerTask: 1,
        adjacency: 'worker',
        declaredMs: Math.max(1, Math.round(runMs * getFactor(random()))),
        preemptible: false,
        urgent: false,
        payload: '',
      },
      runMs,
      group: isWhole ? 'whole-worker' : 'small',
    });
    at += -Math.log(1 - random()) / rate;
  }
  return jobs;
};
