import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { HandlerTable } from '../HandlerTable.js';
import { applySafely } from '../journal/applySafely.js';
import { dropUnlistedJobs } from '../journal/dropUnlistedJobs.js';
import type { State } from '../State.js';
import type { Cursor } from './Cursor.js';
import { openStream } from './openStream.js';
import { sendNextRead } from './sendNextRead.js';
import type { StreamName } from './StreamName.js';
import { streamReadSettings } from './streamReadSettings.js';

// Backoff after failed reads; short at first, because most failures are isolated.
const initialRetryMs = 50;
const maxRetryMs = 400;

type ReadType = 'pageRead' | 'streamRead';

const polledStreams: readonly StreamName[] = ['config', 'journal', 'runs', 'workers'];

const isPendingRead = (state: State, stream: StreamName, readId: number): boolean =>
  state.streams[stream].pendingReadId === readId;

const handleReadSuccess = (state: State, event: EventOf<ReadType>, cursor: Cursor): Effect[] => {
  cursor.pendingReadId = 0;
  cursor.lastSuccessAt = event.at;
  cursor.lastHeardAt = event.responsiveAt;
  if (cursor.failedReads === 0) return [];
  cursor.failedReads = 0;
  // The leader may have been unable to write while the store was unavailable.
  if (event.stream === 'journal') state.leader.lastSeenAt = event.responsiveAt;
  return [
    { type: 'log', level: 'info', code: 'stream_regained', fields: { stream: event.stream } },
  ];
};

const applyRecords = (state: State, event: EventOf<ReadType>): Effect[] =>
  event.records.flatMap((record) => applySafely(state, event.stream, record, event));

/** Retries reads whose effect or answer may have been lost with a failed handler. */
const retryReads = (state: State, event: EventOf<'handlerFailed'>): Effect[] =>
  polledStreams.flatMap((stream) => {
    state.streams[stream].pendingReadId = 0;
    return sendNextRead(state, stream, event);
  });

const handlePageRead = (state: State, event: EventOf<'pageRead'>): Effect[] => {
  const cursor = state.streams[event.stream];
  if (event.stream === 'claims' || !isPendingRead(state, event.stream, event.readId)) return [];
  const effects = handleReadSuccess(state, event, cursor);
  cursor.tailOffset ??= event.endOffset;
  effects.push(...applyRecords(state, event));
  cursor.afterKey = event.afterKey;
  if (event.afterKey === null) {
    cursor.phase = 'tail';
    cursor.nextOffset = cursor.tailOffset;
    if (event.stream === 'journal') dropUnlistedJobs(state, cursor.pagesBegunAt);
  }
  return [...effects, ...sendNextRead(state, event.stream, event)];
};

const handleStreamRead = (state: State, event: EventOf<'streamRead'>): Effect[] => {
  const cursor = state.streams[event.stream];
  if (!isPendingRead(state, event.stream, event.readId)) return [];
  const effects = handleReadSuccess(state, event, cursor);
  effects.push(...applyRecords(state, event));
  cursor.nextOffset = event.nextOffset;
  if (event.nextOffset >= event.endOffset) cursor.endReadSentAt = cursor.readSentAt;
  const { readDelayMs, leaderReadDelayMs } = streamReadSettings[event.stream];
  cursor.nextReadAt = event.at + (state.term ? leaderReadDelayMs : readDelayMs);
  return [...effects, ...sendNextRead(state, event.stream, event)];
};

const handleReadFailed = (state: State, event: EventOf<'readFailed'>): Effect[] => {
  const cursor = state.streams[event.stream];
  if (event.stream === 'claims' || !isPendingRead(state, event.stream, event.readId)) return [];
  cursor.pendingReadId = 0;
  const { reason, stream } = event;
  const fields = { stream, reason, next: cursor.nextOffset, age: event.at - cursor.lastSuccessAt };
  if (reason === 'expired') {
    return [
      { type: 'log', level: 'warn', code: 'stream_expired', fields },
      ...openStream(state, stream, event),
    ];
  }
  cursor.failedReads += 1;
  cursor.nextReadAt =
    event.at + Math.min(maxRetryMs, initialRetryMs * 2 ** (cursor.failedReads - 1));
  const count: Effect = { type: 'count', name: 'store_read_failures', reason };
  if (cursor.failedReads !== 1) return [count];
  return [count, { type: 'log', level: 'warn', code: 'stream_lost', fields }];
};

/** Read the store's streams and maintain their cursors. */
export const streamsHandlers: HandlerTable = {
  started: (state, event) => [
    ...openStream(state, 'config', event),
    ...openStream(state, 'journal', event),
  ],
  tick: (state, event) => polledStreams.flatMap((stream) => sendNextRead(state, stream, event)),
  pageRead: handlePageRead,
  streamRead: handleStreamRead,
  readFailed: handleReadFailed,
  handlerFailed: retryReads,
};
