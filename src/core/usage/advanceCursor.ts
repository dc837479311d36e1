import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Advances a worker's cursor past the lines that need no further comparison. */
export const advanceCursor = (state: State, event: EventOf<'workerUsageRead'>): void => {
  const cursor = state.usage.cursors.get(event.workerId);
  if (!cursor) return;
  if (cursor.incarnation !== event.incarnation) {
    // The read asked for lines after a sequence number of the worker's earlier process, so lines of
    // the new one may be missing; reads again from the start.
    cursor.comparedSeq = 0;
    cursor.incarnation = event.incarnation;
    cursor.nextReadAt = event.at;
    return;
  }
  // A task without a recorded end must be read again.
  const openLine = event.lines.find(({ taskId }) => state.usage.recordedRuns.has(taskId));
  const lastSettledSeq = openLine ? openLine.seq - 1 : event.lines.at(-1)?.seq;
  cursor.comparedSeq = Math.max(cursor.comparedSeq, lastSettledSeq ?? 0);
};
