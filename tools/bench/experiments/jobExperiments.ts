import { buildBackgroundJobs } from '../jobs/buildBackgroundJobs.js';
import type { GeneratedJob } from '../jobs/GeneratedJob.js';
import type { JobExperiment } from './JobExperiment.js';

const durationMs = 240_000;

const buildGang = (
  changes: Omit<Partial<GeneratedJob>, 'spec'> & { tasks: number; urgent?: boolean },
): GeneratedJob => ({
  id: 'gang',
  arrivalAt: 0,
  workspace: 'desk',
  runMs: 20_000,
  group: 'gang',
  ...changes,
  spec: {
    tasks: changes.tasks,
    acceleratorsPerTask: 1,
    adjacency: 'zone',
    declaredMs: changes.runMs ?? 20_000,
    preemptible: false,
    urgent: changes.urgent ?? false,
    payload: '',
  },
});

const addGangs = (jobs: GeneratedJob[], gangs: GeneratedJob[]): GeneratedJob[] =>
  [...jobs, ...gangs].sort((a, b) => a.arrivalAt - b.arrivalAt);

/** Job experiments by name. */
export const jobExperiments: Record<string, JobExperiment> = {
  // A gang that needs the whole zone arrives halfway through the background jobs.
  'fragmenting-churn': (seed, scale) => {
    const jobs = buildBackgroundJobs(seed, durationMs * scale, 0.75, () => 1);
    const gang = buildGang({ tasks: 64, arrivalAt: (durationMs * scale) / 2 });
    return { jobs: addGangs(jobs, [gang]), guarantees: {} };
  },
  // Half of the jobs declare a tenth of their run time, the others ten times their run time.
  'declared-times-wrong': (seed, scale) => {
    const jobs = buildBackgroundJobs(seed, durationMs * scale, 0.75, (random) =>
      random < 0.5 ? 0.1 : 10,
    );
    const gangs = [1, 2, 3].map((index) =>
      buildGang({ id: `gang${index}`, tasks: 32, arrivalAt: (index * durationMs * scale) / 4 }),
    );
    return { jobs: addGangs(jobs, gangs), guarantees: {} };
  },
  // `labels` fills the zone with preemptible jobs; `desk` then requests its guaranteed half.
  'guarantee-reclaim': (seed, scale) => {
    const shape = { zone: 'zone-a', workers: 4, acceleratorsPerWorker: 8, adjacency: 'zone' };
    const gangAt = 20_000 * scale + (seed % 10) * 100;
    const borrowers = Array.from({ length: 16 }, (_, index): GeneratedJob => {
      const job = buildGang({ id: `lent${index}`, tasks: 4, workspace: 'labels', group: 'lent' });
      const spec = { ...job.spec, adjacency: 'worker', preemptible: true } as const;
      return { ...job, spec, runMs: 60_000 + 1000 * ((seed * 7 + index) % 30) };
    });
    const gang = buildGang({ tasks: 32, urgent: true, arrivalAt: gangAt });
    return { jobs: [...borrowers, gang], guarantees: { desk: [{ ...shape, adjacency: 'zone' }] } };
  },
};
