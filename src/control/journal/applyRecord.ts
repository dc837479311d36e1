import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { StreamRecord } from '../streams/StreamRecord.js';
import { recordHandlers } from './recordHandlers.js';

type AnyRecordHandler = (state: State, record: StreamRecord, now: Now) => Effect[];

/** Applies one record; records may come more than once and, from pages, in any order. */
export const applyRecord = (state: State, record: StreamRecord, now: Now): Effect[] => {
  // The table's type ties each handler to its record type; the look-up erases that tie.
  const handler = recordHandlers[record.type] as AnyRecordHandler;
  return handler(state, record, now);
};
