import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Time to read the new tree record from the log before the next append. */
const readBackMs = 10_000;

/** Finishes a successful or failed append of the whole tree. */
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
