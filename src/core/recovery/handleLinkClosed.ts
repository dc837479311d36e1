import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Drops the scan for a disconnected scheduler; repeats the query if the recorder disconnected. */
export const handleLinkClosed = (state: State, event: EventOf<'linkClosed'>): Effect[] => {
  const { recovery, self } = state;
  recovery.scans.delete(event.node);
  if (event.node === `${self.vmId}/recorder` && recovery.nextQueryAt !== null)
    recovery.nextQueryAt = event.at;
  return [];
};
