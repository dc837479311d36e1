import { formatCell } from '../output/formatCell.js';
import { formatTimestamp } from '../output/formatTimestamp.js';
import type { Table } from '../output/Table.js';
import type { ApiJob } from './ApiJob.js';

const formatShape = ({ spec }: ApiJob): string =>
  spec ? `${spec.tasks}x${spec.acceleratorsPerTask} ${spec.adjacency}` : '-';

const columns: Readonly<Record<string, (job: ApiJob) => string>> = {
  job: ({ id }) => formatCell(id),
  state: ({ state }) => formatCell(state),
  zone: ({ zone }) => formatCell(zone),
  shape: formatShape,
  attempt: ({ attempt }) => formatCell(attempt),
  submitted: ({ submittedWall }) => formatTimestamp(submittedWall),
  started: ({ startedWall }) => formatTimestamp(startedWall),
  reason: ({ reason }) => formatCell(reason),
};

/** Builds a table of jobs that omits columns without a value in any row. */
export const buildJobTable = (jobs: readonly ApiJob[]): Table => {
  const usedColumns = Object.entries(columns).filter(([, toCell]) =>
    jobs.some((job) => toCell(job) !== '-'),
  );
  return {
    columns: usedColumns.map(([name]) => name),
    rows: jobs.map((job) => usedColumns.map(([, toCell]) => toCell(job))),
  };
};
