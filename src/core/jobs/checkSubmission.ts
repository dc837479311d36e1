import type { Refusal } from '../Refusal.js';
import { createRefusal } from '../createRefusal.js';
import type { State } from '../State.js';
import { findWorkspaceSettings } from './findWorkspaceSettings.js';
import type { JobSpec } from './JobSpec.js';
import { placeGang } from './placeGang.js';

const createDetailedRefusal = (reason: Refusal['reason'], detail: string): Refusal => ({
  ...createRefusal(reason),
  detail,
});

const isPositiveInteger = (value: number): boolean => Number.isInteger(value) && value > 0;

/**
 * Checks whether a job could run in this zone if it were empty; returns a refusal, or null. Drained
 * workers count, because they may come back. Cost: O(workers log workers).
 */
export const checkSubmission = (
  state: State,
  workspace: string,
  zone: string,
  spec: JobSpec,
): Refusal | null => {
  const settings = findWorkspaceSettings(state, workspace);
  if (!settings) return createDetailedRefusal('unknown-workspace', workspace);
  if (zone !== state.self.zone)
    return createDetailedRefusal('no-lead', `not a scheduler of zone ${zone}`);
  if (!isPositiveInteger(spec.tasks) || !isPositiveInteger(spec.acceleratorsPerTask)) {
    return createDetailedRefusal(
      'bad-request',
      'tasks and acceleratorsPerTask must be positive integers',
    );
  }
  const workers = Object.entries(state.settings.inForce?.tree.zones[zone]?.workers ?? {});
  const capacities = workers.map(([workerId, { rack, accelerators, slots }]) => ({
    workerId,
    rack,
    capacity: Math.min(accelerators, slots),
  }));
  const shape = `${spec.tasks} parts of ${spec.acceleratorsPerTask} accelerators in one ${spec.adjacency}`;
  if (!placeGang(capacities, spec)) {
    return createDetailedRefusal(
      'impossible-shape',
      `${shape} are more than any ${spec.adjacency} can hold`,
    );
  }
  if (spec.tasks * spec.acceleratorsPerTask > settings.maxAccelerators) {
    return createDetailedRefusal(
      'quota-exceeded',
      `${shape} exceed the quota of ${settings.maxAccelerators}`,
    );
  }
  return null;
};
