import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { StreamRecord } from '../streams/StreamRecord.js';
import type { RecordOf } from './RecordOf.js';

/** Record handlers by record type. */
export type RecordHandlerTable = {
  [T in StreamRecord['type']]: (state: State, record: RecordOf<T>, now: Now) => Effect[];
};
