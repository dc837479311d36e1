import type { State } from '../State.js';
import type { StreamName } from './StreamName.js';

/** Stops reading a stream; the answer to a pending read is ignored. */
export const closeStream = (state: State, stream: StreamName): void => {
  const cursor = state.streams[stream];
  cursor.phase = 'off';
  cursor.pendingReadId = 0;
};
