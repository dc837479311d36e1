import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { StreamName } from './StreamName.js';

// A read with its wait, a slow answer and a retry; well below the time in which a cancellation must hold.
const maxAgeMs = 2000;

/**
 * Whether what this VM knows of the stream is recent: the read that last returned its end was sent a short
 * time ago, however late its answer was handled.
 */
export const isCurrent = (state: State, stream: StreamName, now: Now): boolean =>
  now.at - state.streams[stream].endReadSentAt <= maxAgeMs;
