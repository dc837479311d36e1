import type { RecordOf } from '../journal/RecordOf.js';
import type { StreamRecord } from '../streams/StreamRecord.js';

/** Lists the records of one type. */
export const listRecords = <T extends StreamRecord['type']>(
  records: readonly StreamRecord[],
  type: T,
): RecordOf<T>[] => records.filter((record): record is RecordOf<T> => record.type === type);
