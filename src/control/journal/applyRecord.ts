import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { StreamRecord } from '../streams/StreamRecord.js';
import { recordHandlers } from './recordHandlers.js';

type AnyRecordHandler = (state: State, record: StreamRecord, now: Now) => Effect[];

/** Applies one record; records may arrive more than once and, when read by pages, in any order. */
export const applyRecord = (state: State, record: StreamRecord, now: Now): Effect[] => {
  // The table's type relates each handler to its record type; an indexed access loses that relation.
  const handler = recordHandlers[record.type] as AnyRecordHandler;
  return handler(state, record, now);
};
