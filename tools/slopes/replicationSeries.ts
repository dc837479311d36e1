import { reduce } from '../../src/core/reduce.js';
import type { Job } from '../../src/core/jobs/Job.js';
import type { State } from '../../src/core/State.js';
import { addRunningTasks } from './addRunningTasks.js';
import { createDaemonState } from './createDaemonState.js';
import { createRunningJob } from './createRunningJob.js';
import type { Series } from './Series.js';
import { seriesSizes } from './seriesSizes.js';
import type { Workload } from './Workload.js';
import { targetSize } from './targetSize.js';
import { fixedTime } from './fixedTime.js';

const createFollower = (tasks: number): State => {
  const state = createDaemonState('scheduler');
  addRunningTasks(state, tasks);
  state.ownership.leases.forEach((lease) => {
    lease.status = 'notHeld';
  });
  state.ownership.lead = false;
  return state;
};

const createReplication = (state: State, parts: number): Workload => {
  const workers = [...state.ownership.leases.keys()];
  const placedWorkerIds = Array.from(
    { length: parts },
    (_, index) => workers[index % workers.length]!,
  );
  const jobs: Job[] = [createRunningJob('copied', 'workspace-0001', placedWorkerIds)];
  const message = { type: 'replicate', sequence: 1, keys: [], freedKeys: [], jobs } as const;
  return {
    operations: 1,
    run: () => {
      const event = { ...message, freedKeys: [], keys: [], complete: true };
      reduce(state, { ...event, from: 'vm-001/scheduler', ...fixedTime });
    },
  };
};

/** Cost series of the lead's replication to the other schedulers of the zone. */
export const replicationSeries: Readonly<Record<string, Series>> = {
  'replicate of one job, by jobs': {
    axis: 'jobs of 20 parts known',
    operation: 'event',
    sizes: [127, 500, 1000, 2000, 3833],
    create: (jobs) =>
      createReplication(createFollower(jobs * targetSize.partsPerJob), targetSize.partsPerJob),
  },
  'replicate of one gang': {
    axis: 'parts of one gang',
    operation: 'event',
    sizes: seriesSizes.parts,
    create: (parts) => createReplication(createFollower(targetSize.zoneTasks), parts),
  },
};
