import { formatCell } from '../output/formatCell.js';
import { formatWall } from '../output/formatWall.js';
import type { Table } from '../output/Table.js';
import type { ShownJob } from './ShownJob.js';

const formatShape = ({ spec }: ShownJob): string =>
  spec ? `${spec.tasks}x${spec.acceleratorsPerTask} ${spec.adjacency}` : '-';

const columns: Readonly<Record<string, (job: ShownJob) => string>> = {
  job: ({ id }) => formatCell(id),
  state: ({ state }) => formatCell(state),
  zone: ({ zone }) => formatCell(zone),
  shape: formatShape,
  attempt: ({ attempt }) => formatCell(attempt),
  submitted: ({ submittedWall }) => formatWall(submittedWall),
  started: ({ startedWall }) => formatWall(startedWall),
  reason: ({ reason }) => formatCell(reason),
};

/** Builds the table of jobs, without columns that are empty in every row. */
export const buildJobTable = (jobs: readonly ShownJob[]): Table => {
  const used = Object.entries(columns).filter(([, toCell]) =>
    jobs.some((job) => toCell(job) !== '-'),
  );
  return {
    columns: used.map(([name]) => name),
    rows: jobs.map((job) => used.map(([, toCell]) => toCell(job))),
  };
};
