import { reduce } from '../../src/core/reduce.js';
import type { JobSpec } from '../../src/core/jobs/JobSpec.js';
import type { State } from '../../src/core/State.js';
import { fixedTime } from './fixedTime.js';

/** Submits jobs of one shape, round-robin over the workspaces of the tree. */
export const submitJobs = (
  state: State,
  ids: readonly string[],
  spec: Partial<JobSpec> = {},
): void => {
  const workspaces = [...state.settings.teamByWorkspace.keys()];
  ids.forEach((jobId, index) => {
    const workspace = workspaces[index % workspaces.length]!;
    const shape = { tasks: 1, acceleratorsPerTask: 1, adjacency: 'zone', ...spec } as const;
    const flags = { declaredMs: 14_400_000, preemptible: false, urgent: false, ...spec };
    const command = {
      kind: 'submitJob',
      jobId,
      workspace,
      spec: { payload: '{"image":"label-reader:41"}', ...shape, ...flags },
    } as const;
    const from = 'vm-000/gateway';
    reduce(state, { type: 'command', requestId: `r-${jobId}`, command, from, ...fixedTime });
  });
};
