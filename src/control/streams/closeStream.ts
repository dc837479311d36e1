import type { State } from '../State.js';
import type { StreamName } from './StreamName.js';

/** Stops reading a stream; an open read is ignored when it is answered. */
export const closeStream = (state: State, stream: StreamName): void => {
  const cursor = state.streams[stream];
  cursor.phase = 'off';
  cursor.openReadId = 0;
};
