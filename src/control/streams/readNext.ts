import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { StreamName } from './StreamName.js';
import { streamSettings } from './streamSettings.js';

// Time for an answer beyond the wait that was asked for.
const answerTimeoutMs = 700;

/** Sends the next read of a stream, unless one is open or it is too early. */
export const readNext = (state: State, stream: StreamName, now: Now): Effect[] => {
  const cursor = state.streams[stream];
  if (cursor.phase === 'off' || cursor.readId !== 0 || now.at < cursor.retryAt) return [];
  state.lastCallId += 1;
  cursor.readId = state.lastCallId;
  if (cursor.phase === 'pages') {
    return [
      {
        type: 'readPage',
        stream,
        readId: cursor.readId,
        after: cursor.pageAfter,
        timeoutMs: answerTimeoutMs,
      },
    ];
  }
  const { waitMs } = streamSettings[stream];
  return [
    {
      type: 'readStream',
      stream,
      readId: cursor.readId,
      from: cursor.next,
      waitMs,
      timeoutMs: waitMs + answerTimeoutMs,
    },
  ];
};
