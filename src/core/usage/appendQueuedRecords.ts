import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { countFittingRecords } from './countFittingRecords.js';
import type { UsageStream } from './UsageStream.js';

/** Greatest number of records in one append; under load, appends grow instead of becoming more. */
const maxAppendRecords = 2000;
/** Greatest JSON length of the records in one append. */
const maxAppendCharacters = 1024 * 1024;

/** Appends the waiting records of one stream, at most once per `usageBatchMs`. */
export const appendQueuedRecords = (state: State, stream: UsageStream, at: number): Effect[] => {
  const { usage, timing, self } = state;
  const queue = usage.appendQueues[stream];
  if (queue.inFlight !== null || at < queue.nextAppendAt || queue.waiting.length === 0) return [];
  const count = countFittingRecords(
    queue.waiting.slice(0, maxAppendRecords).map(({ record }) => record),
    maxAppendRecords,
    maxAppendCharacters,
  );
  const entries = queue.waiting.splice(0, count);
  const appendId = `usage/${self.incarnation}/${usage.nextAppendNumber}`;
  usage.nextAppendNumber += 1;
  queue.inFlight = { appendId, sentAt: at, entries };
  queue.nextAppendAt = at + timing.usageBatchMs;
  const records = entries.map(({ record }) => record);
  return [{ type: 'appendLog', appendId, stream, records }];
};
