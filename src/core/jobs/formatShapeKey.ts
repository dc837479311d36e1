import type { Job } from './Job.js';

/** Names the workspace and shape of a job; jobs of one name are expected to run equally long. */
export const formatShapeKey = ({ workspace, spec }: Pick<Job, 'workspace' | 'spec'>): string =>
  `${workspace}/${spec.tasks}x${spec.acceleratorsPerTask}/${spec.adjacency}`;
