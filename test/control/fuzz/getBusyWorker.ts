import type { FakeWorker } from '../simulation/FakeWorker.js';
import { getWorker } from './getWorker.js';
import type { Scenario } from './Scenario.js';
import type { ScenarioAction } from './ScenarioAction.js';

/** Returns the worker that a step applies to, out of those that run tasks if any does. */
export const getBusyWorker = (scenario: Scenario, action: ScenarioAction): FakeWorker => {
  const workers = [...scenario.platform.workers.values()];
  const busy = workers.filter(({ up, draining, running }) => up && !draining && running.size > 0);
  return busy[action.target % Math.max(1, busy.length)] ?? getWorker(scenario, action);
};
