import type { State } from '../State.js';

/**
 * Lists the registered workers of this scheduler's zone that are not drained. Only they count for a
 * majority: drained workers could keep a zone without a lead, or stand for one that nobody held.
 */
export const listUndrainedWorkers = (state: State): string[] =>
  Object.entries(state.settings.inForce?.tree.zones[state.self.zone]?.workers ?? {})
    .filter(([, worker]) => !worker.drained)
    .map(([workerId]) => workerId);
