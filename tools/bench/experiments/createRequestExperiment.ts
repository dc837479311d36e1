import type { Experiment } from '../Experiment.js';
import { requestPolicies } from '../policies/requestPolicies.js';
import { measureRequests } from '../requests/measureRequests.js';
import { runRequests } from '../requests/runRequests.js';
import type { RequestExperiment } from './RequestExperiment.js';

/** Wraps a request scenario as an experiment over all routing policies. */
export const createRequestExperiment = (buildScenario: RequestExperiment): Experiment => ({
  policies: Object.keys(requestPolicies),
  comparedMeasures: {
    'counter-mean': 'lower',
    'counter-p99': 'lower',
    'batch-mean': 'lower',
    'batch-p99': 'lower',
    'in-deadline': 'higher',
    fairness: 'higher',
  },
  run: (policy, seed, scale) => {
    const scenario = buildScenario(seed, scale);
    return measureRequests(scenario, runRequests(scenario, requestPolicies[policy]!(scenario)));
  },
});
