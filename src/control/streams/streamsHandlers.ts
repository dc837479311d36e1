import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { HandlerTable } from '../HandlerTable.js';
import { applyRecord } from '../journal/applyRecord.js';
import type { State } from '../State.js';
import type { Cursor } from './Cursor.js';
import { openStream } from './openStream.js';
import { readNext } from './readNext.js';
import type { StreamName } from './StreamName.js';
import { streamSettings } from './streamSettings.js';

// Pauses after failed reads: short at first, because most failures are single ones.
const firstRetryMs = 50;
const longestRetryMs = 400;

const followed: readonly StreamName[] = ['config', 'journal', 'runs', 'workers'];

const isOpenRead = (state: State, stream: StreamName, readId: number): boolean =>
  state.streams[stream].readId === readId;

const noteRead = (
  state: State,
  event: EventOf<'pageRead'> | EventOf<'streamRead'>,
  cursor: Cursor,
): Effect[] => {
  cursor.readId = 0;
  cursor.lastOkAt = event.at;
  if (cursor.failures === 0) return [];
  cursor.failures = 0;
  // The lead may have been unable to write as long as the store was away.
  if (event.stream === 'journal') state.lead.lastSeenAt = event.at;
  return [
    { type: 'log', level: 'info', code: 'stream_regained', fields: { stream: event.stream } },
  ];
};

const applyAll = (state: State, event: EventOf<'pageRead'> | EventOf<'streamRead'>): Effect[] =>
  event.records.flatMap((record) => applyRecord(state, record, event));

const handlePageRead = (state: State, event: EventOf<'pageRead'>): Effect[] => {
  const cursor = state.streams[event.stream];
  if (event.stream === 'claims' || !isOpenRead(state, event.stream, event.readId)) return [];
  const effects = noteRead(state, event, cursor);
  cursor.tailFrom ??= event.end;
  effects.push(...applyAll(state, event));
  cursor.pageAfter = event.after;
  if (event.after === null) {
    cursor.phase = 'tail';
    cursor.next = cursor.tailFrom;
  }
  return [...effects, ...readNext(state, event.stream, event)];
};

const handleStreamRead = (state: State, event: EventOf<'streamRead'>): Effect[] => {
  const cursor = state.streams[event.stream];
  if (!isOpenRead(state, event.stream, event.readId)) return [];
  const effects = noteRead(state, event, cursor);
  effects.push(...applyAll(state, event));
  cursor.next = event.next;
  const { pauseMs, leadPauseMs } = streamSettings[event.stream];
  cursor.retryAt = event.at + (state.term ? leadPauseMs : pauseMs);
  return [...effects, ...readNext(state, event.stream, event)];
};

const handleReadFailed = (state: State, event: EventOf<'readFailed'>): Effect[] => {
  const cursor = state.streams[event.stream];
  if (event.stream === 'claims' || !isOpenRead(state, event.stream, event.readId)) return [];
  cursor.readId = 0;
  const { reason, stream } = event;
  const fields = { stream, reason, next: cursor.next, age: event.at - cursor.lastOkAt };
  if (reason === 'expired') {
    return [
      { type: 'log', level: 'warn', code: 'stream_expired', fields },
      ...openStream(state, stream, event),
    ];
  }
  cursor.failures += 1;
  cursor.retryAt = event.at + Math.min(longestRetryMs, firstRetryMs * 2 ** (cursor.failures - 1));
  const count: Effect = { type: 'count', name: 'store_read_failures', reason };
  if (cursor.failures !== 1) return [count];
  return [count, { type: 'log', level: 'warn', code: 'stream_lost', fields }];
};

/** Reads the streams of the store and keeps their positions. */
export const streamsHandlers: HandlerTable = {
  started: (state, event) => [
    ...openStream(state, 'config', event),
    ...openStream(state, 'journal', event),
  ],
  tick: (state, event) => followed.flatMap((stream) => readNext(state, stream, event)),
  pageRead: handlePageRead,
  streamRead: handleStreamRead,
  readFailed: handleReadFailed,
};
