import type { FakeWorker } from '../simulation/FakeWorker.js';
import type { Scenario } from './Scenario.js';
import type { ScenarioAction } from './ScenarioAction.js';

/** Returns the worker that a step applies to. */
export const getWorker = ({ platform }: Scenario, { target }: ScenarioAction): FakeWorker =>
  platform.workers.get(`w${target % platform.workers.size}`)!;
