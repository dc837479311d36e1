import type { Job } from './Job.js';

/** Formats workspace and shape of a job as a key; jobs with equal keys should run equally long. */
export const formatShapeKey = ({ workspace, spec }: Pick<Job, 'workspace' | 'spec'>): string =>
  `${workspace}/${spec.tasks}x${spec.acceleratorsPerTask}/${spec.adjacency}`;
