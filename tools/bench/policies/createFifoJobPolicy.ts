import type { GeneratedJob } from '../jobs/GeneratedJob.js';
import type { JobPolicy } from '../jobs/JobPolicy.js';
import type { JobTimes } from '../jobs/JobTimes.js';
import { zoneSize } from '../jobs/zoneSize.js';

// The end of a task is seen at the next renewal of its worker, as in the scheduler.
const renewEveryMs = 1000;

const placeFirstFit = (free: number[], { spec }: GeneratedJob): number[] | null => {
  const left = [...free];
  const places: number[] = [];
  const needed = spec.adjacency === 'worker' ? spec.tasks * spec.acceleratorsPerTask : 0;
  for (let part = 0; part < spec.tasks; part += 1) {
    const isFitting = (count: number, index: number): boolean =>
      count >= spec.acceleratorsPerTask && (needed === 0 || free[index]! >= needed);
    const index = left.findIndex(isFitting);
    if (index < 0) return null;
    left[index]! -= spec.acceleratorsPerTask;
    places.push(index);
  }
  return places;
};

/** Arrival order without backfill: only the oldest job is tried, on the first workers that fit. */
export const createFifoJobPolicy = (): JobPolicy => {
  const free = new Array<number>(zoneSize.workers).fill(zoneSize.acceleratorsPerWorker);
  const times = new Map<string, JobTimes>();
  const queue: GeneratedJob[] = [];
  let running: { job: GeneratedJob; places: number[]; endAt: number }[] = [];
  const startJobs = (at: number): void => {
    for (let job = queue[0]; job; [job] = queue) {
      const places = placeFirstFit(free, job);
      if (!places) return;
      queue.shift();
      const { acceleratorsPerTask } = job.spec;
      places.forEach((index) => {
        free[index]! -= acceleratorsPerTask;
      });
      times.get(job.id)!.startAt = at;
      const endAt = Math.ceil((at + job.runMs) / renewEveryMs) * renewEveryMs;
      running.push({ job, places, endAt });
    }
  };
  return {
    submit: (job, at) => {
      times.set(job.id, { startAt: null, endAt: null });
      queue.push(job);
      startJobs(at);
    },
    tick: (at) => {
      running
        .filter(({ endAt }) => at >= endAt)
        .forEach(({ job, places }) => {
          places.forEach((index) => {
            free[index]! += job.spec.acceleratorsPerTask;
          });
          times.get(job.id)!.endAt = at;
        });
      running = running.filter(({ endAt }) => at < endAt);
      startJobs(at);
    },
    getTimes: ({ id }) => times.get(id)!,
    listFreeAccelerators: () => [...free],
  };
};
