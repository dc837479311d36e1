import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Moves a worker's cursor behind the lines that need no further comparison. */
export const advanceCursor = (state: State, event: EventOf<'workerUsageRead'>): void => {
  const cursor = state.usage.cursors.get(event.workerId);
  if (!cursor) return;
  if (cursor.incarnation !== event.incarnation) {
    // The lines were read behind a number of the worker's earlier process; read again from the start.
    cursor.comparedSeq = 0;
    cursor.incarnation = event.incarnation;
    cursor.nextReadAt = event.at;
    return;
  }
  // A task whose end is not recorded yet must be read again.
  const openLine = event.lines.find(({ taskId }) => state.usage.recordedRuns.has(taskId));
  const lastSettledSeq = openLine ? openLine.seq - 1 : event.lines.at(-1)?.seq;
  cursor.comparedSeq = Math.max(cursor.comparedSeq, lastSettledSeq ?? 0);
};
