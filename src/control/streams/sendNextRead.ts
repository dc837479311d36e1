import type { Effect } from '../Effect.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import type { StreamName } from './StreamName.js';
import { streamReadSettings } from './streamReadSettings.js';

// Time allowed for the answer in addition to the requested wait.
const responseTimeoutMs = 700;

/** Sends the next read of a stream, unless one is pending or the next is not due yet. */
export const sendNextRead = (state: State, stream: StreamName, now: Now): Effect[] => {
  const cursor = state.streams[stream];
  if (cursor.phase === 'off' || cursor.pendingReadId !== 0 || now.at < cursor.nextReadAt) return [];
  state.lastCallId += 1;
  cursor.pendingReadId = state.lastCallId;
  cursor.readSentAt = now.at;
  if (cursor.phase === 'pages') {
    return [
      {
        type: 'readPage',
        stream,
        readId: cursor.pendingReadId,
        afterKey: cursor.afterKey,
        timeoutMs: responseTimeoutMs,
      },
    ];
  }
  const { waitMs } = streamReadSettings[stream];
  return [
    {
      type: 'readStream',
      stream,
      readId: cursor.pendingReadId,
      fromOffset: cursor.nextOffset,
      waitMs,
      timeoutMs: waitMs + responseTimeoutMs,
    },
  ];
};
