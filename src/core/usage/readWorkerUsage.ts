import type { Effect } from '../Effect.js';
import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import type { State } from '../State.js';

// The reports lag by seconds and are used only for invoices.
const readIntervalMs = 10_000;

/** Reads the usage reports of held workers when due. O(workers of the zone). */
export const readWorkerUsage = (state: State, at: number): Effect[] => {
  if (state.self.role !== 'scheduler') return [];
  const workers = state.settings.inForce?.tree.zones[state.self.zone]?.workers ?? {};
  return Object.entries(workers).flatMap(([workerId, { url }]): Effect[] => {
    const { cursors } = state.usage;
    const cursor = cursors.get(workerId) ?? { incarnation: null, comparedSeq: 0, nextReadAt: at };
    cursors.set(workerId, cursor);
    if (at < cursor.nextReadAt || !isWorkerHeld(state, workerId, at)) return [];
    cursor.nextReadAt = at + readIntervalMs;
    return [{ type: 'readWorkerUsage', workerId, url, after: cursor.comparedSeq }];
  });
};
