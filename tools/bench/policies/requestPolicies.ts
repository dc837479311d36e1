import type { RequestPolicy } from '../requests/RequestPolicy.js';
import type { RequestScenario } from '../requests/RequestScenario.js';
import { createFewestRunning } from './createFewestRunning.js';
import { createFirstFit } from './createFirstFit.js';
import { createOracle } from './createOracle.js';
import { createQueuePolicy } from './createQueuePolicy.js';
import { createReducerPolicy } from './createReducerPolicy.js';
import { createRoundRobin } from './createRoundRobin.js';

/** Routing policies by name; `ours` is the scheduler's reducer, the oracles give the bound. */
export const requestPolicies: Record<string, (scenario: RequestScenario) => RequestPolicy> = {
  ours: createReducerPolicy,
  'round-robin': (scenario) => createQueuePolicy(scenario, createRoundRobin()),
  'fewest-running': (scenario) => createQueuePolicy(scenario, createFewestRunning()),
  'fifo-first-fit': (scenario) => createQueuePolicy(scenario, createFirstFit()),
  oracle: (scenario) => createQueuePolicy(scenario, createOracle(true)),
  'oracle-free': (scenario) => createQueuePolicy(scenario, createOracle(false)),
};
