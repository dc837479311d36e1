import type { Refusal } from '../Refusal.js';
import { createRefusal } from '../createRefusal.js';
import type { State } from '../State.js';
import { findWorkspaceSettings } from './findWorkspaceSettings.js';
import type { JobSpec } from './JobSpec.js';
import { placeGang } from './placeGang.js';

const explainRefusal = (reason: Refusal['reason'], detail: string): Refusal => ({
  ...createRefusal(reason),
  detail,
});

const isCount = (value: number): boolean => Number.isInteger(value) && value > 0;

/**
 * Checks whether a job could ever run in this zone; returns the refusal, or null. A drained worker
 * counts, because it may come back. Cost: O(workers log workers).
 */
export const checkSubmission = (
  state: State,
  workspace: string,
  zone: string,
  spec: JobSpec,
): Refusal | null => {
  const settings = findWorkspaceSettings(state, workspace);
  if (!settings) return explainRefusal('unknown-workspace', workspace);
  if (zone !== state.self.zone) return explainRefusal('no-lead', `not a scheduler of zone ${zone}`);
  if (!isCount(spec.tasks) || !isCount(spec.acceleratorsPerTask)) {
    return explainRefusal('bad-request', 'tasks and acceleratorsPerTask must be positive integers');
  }
  const workers = Object.entries(state.settings.inForce?.tree.zones[zone]?.workers ?? {});
  const capacities = workers.map(([workerId, { rack, accelerators, slots }]) => ({
    workerId,
    rack,
    capacity: Math.min(accelerators, slots),
  }));
  const shape = `${spec.tasks} parts of ${spec.acceleratorsPerTask} accelerators in one ${spec.adjacency}`;
  if (!placeGang(capacities, spec)) {
    return explainRefusal(
      'impossible-shape',
      `${shape} exceed every ${spec.adjacency} of the zone`,
    );
  }
  if (spec.tasks * spec.acceleratorsPerTask > settings.maxAccelerators) {
    return explainRefusal(
      'quota-exceeded',
      `${shape} exceed the quota of ${settings.maxAccelerators}`,
    );
  }
  return null;
};
