import { formatCell } from '../output/formatCell.js';
import { formatWall } from '../output/formatWall.js';
import type { Table } from '../output/Table.js';
import type { ShownJob } from './ShownJob.js';

/** Builds the table of jobs. */
export const buildJobTable = (jobs: readonly ShownJob[]): Table => ({
  columns: ['job', 'state', 'zone', 'shape', 'attempt', 'submitted', 'started', 'reason'],
  rows: jobs.map((job) => [
    formatCell(job.id),
    formatCell(job.state),
    formatCell(job.zone),
    job.spec ? `${job.spec.tasks}x${job.spec.acceleratorsPerTask} ${job.spec.adjacency}` : '-',
    formatCell(job.attempt),
    formatWall(job.submittedWall),
    formatWall(job.startedWall),
    formatCell(job.reason),
  ]),
});
