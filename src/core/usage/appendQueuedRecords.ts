import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { countFittingRecords } from './countFittingRecords.js';
import type { UsageStream } from './UsageStream.js';

/** Appends grow up to this under load, while their number stays the same. */
const maxRecords = 2000;
const maxLength = 1024 * 1024;

/** Appends the waiting records of one stream, at most once in `usageBatchMs`. */
export const appendQueuedRecords = (state: State, stream: UsageStream, at: number): Effect[] => {
  const { usage, timing, self } = state;
  const lane = usage.appendQueues[stream];
  if (lane.inFlight !== null || at < lane.nextAppendAt || lane.waiting.length === 0) return [];
  const count = countFittingRecords(
    lane.waiting.slice(0, maxRecords).map(({ record }) => record),
    maxRecords,
    maxLength,
  );
  const entries = lane.waiting.splice(0, count);
  const appendId = `usage/${self.incarnation}/${usage.nextAppendNumber}`;
  usage.nextAppendNumber += 1;
  lane.inFlight = { appendId, sentAt: at, entries };
  lane.nextAppendAt = at + timing.usageBatchMs;
  const records = entries.map(({ record }) => record);
  return [{ type: 'appendLog', appendId, stream, records }];
};
