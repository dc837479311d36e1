import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { sendNextRead } from './sendNextRead.js';
import type { StreamName } from './StreamName.js';

/** Starts reading a stream, beginning with the newest record of each key. */
export const openStream = (state: State, stream: StreamName, now: Now): Effect[] => {
  const cursor = state.streams[stream];
  cursor.phase = 'pages';
  cursor.pagesBegunAt = now.at;
  cursor.afterKey = null;
  cursor.tailOffset = null;
  cursor.pendingReadId = 0;
  return sendNextRead(state, stream, now);
};
