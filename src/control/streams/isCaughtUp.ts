import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { StreamName } from './StreamName.js';

// One read with its wait and its answer, and one retry.
const maxReadAgeMs = 2500;

/** Whether the stream has been read to its end and its last successful read is recent. */
export const isCaughtUp = (state: State, stream: StreamName, now: Now): boolean => {
  const cursor = state.streams[stream];
  return cursor.phase === 'tail' && now.at - cursor.lastSuccessAt <= maxReadAgeMs;
};
