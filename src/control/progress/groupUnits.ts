import type { AppendUnit } from './AppendUnit.js';
import { measureRecordBytes } from './measureRecordBytes.js';

// Length of a record in an append.
const lengthBytes = 4;

interface Group {
  units: AppendUnit[];
  bytes: number;
}

type LeaderRecord = AppendUnit['records'][number];

const measureBytes = (record: LeaderRecord): number => lengthBytes + measureRecordBytes(record);

const addRecord = (group: Group, jobId: string | null, record: LeaderRecord): void => {
  const unit = group.units.at(-1);
  if (unit && unit.jobId === jobId && jobId !== null) unit.records.push(record);
  else group.units.push({ jobId, records: [record] });

  group.bytes += measureBytes(record);
};

/**
 * Groups units into appends of at most this size, in order; a unit that doesn't fit into the rest of an append is
 * continued in the next one.
 */
export const groupUnits = (units: readonly AppendUnit[], maxBytes: number): AppendUnit[][] => {
  const groups: Group[] = [];
  units.forEach(({ jobId, records }) =>
    records.forEach((record) => {
      const group = groups.at(-1);
      if (group && group.bytes + measureBytes(record) <= maxBytes) addRecord(group, jobId, record);
      else {
        const next = { units: [], bytes: 0 };
        groups.push(next);
        addRecord(next, jobId, record);
      }
    }),
  );
  return groups.map((group) => group.units);
};
