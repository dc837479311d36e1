import type { AppendUnit } from './AppendUnit.js';
import { measureRecordBytes } from './measureRecordBytes.js';

// Length of a record in an append.
const lengthBytes = 4;

type LeaderRecord = AppendUnit['records'][number];

const addRecord = (group: AppendUnit[], jobId: string | null, record: LeaderRecord): void => {
  const unit = group.at(-1);
  if (unit && unit.jobId === jobId && jobId !== null) unit.records.push(record);
  else group.push({ jobId, records: [record] });
};

/**
 * Groups units into appends of at most this size, in order; a unit that doesn't fit into the rest of an append is
 * continued in the next one.
 */
export const groupUnits = (units: readonly AppendUnit[], maxBytes: number): AppendUnit[][] => {
  const groups: AppendUnit[][] = [];
  let groupBytes = 0;
  units.forEach(({ jobId, records }) =>
    records.forEach((record) => {
      const bytes = lengthBytes + measureRecordBytes(record);
      groupBytes += bytes;
      const group = groups.at(-1);
      if (group && groupBytes <= maxBytes) {
        addRecord(group, jobId, record);
        return;
      }
      groups.push([{ jobId, records: [record] }]);
      groupBytes = bytes;
    }),
  );
  return groups;
};
