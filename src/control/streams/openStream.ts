import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { readNext } from './readNext.js';
import type { StreamName } from './StreamName.js';

/** Starts to read a stream from the newest record of each key. */
export const openStream = (state: State, stream: StreamName, now: Now): Effect[] => {
  const cursor = state.streams[stream];
  cursor.phase = 'pages';
  cursor.pageAfter = null;
  cursor.tailFrom = null;
  cursor.readId = 0;
  return readNext(state, stream, now);
};
