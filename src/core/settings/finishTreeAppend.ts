import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Time for reading the new tree record back before another append is considered. */
const readBackMs = 10_000;

/** Ends the append of a whole tree, whether it succeeded or not. */
export const finishTreeAppend = (
  state: State,
  event: EventOf<'logAppended'> | EventOf<'logAppendFailed'>,
): Effect[] => {
  const { settings } = state;
  if (event.appendId !== settings.treeAppendId) return [];
  settings.treeAppendId = null;
  settings.nextTreeAppendAt = event.at + readBackMs;
  return event.type === 'logAppended' ? [] : [{ type: 'countRetry', reason: 'append-failed' }];
};
