import { build } from 'hdr-histogram-js';
import type { Measures } from '../Measures.js';
import type { RequestClass } from './RequestClass.js';
import type { RequestResult } from './RequestResult.js';
import type { RequestScenario } from './RequestScenario.js';

// The histogram takes integers; a resolution of 10 µs suffices for the shortest service times.
const unitsPerMs = 100;

const measureLatency = (results: RequestResult[], requestClass: RequestClass): Measures => {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  results
    .filter(
      ({ request, outcome }) => request.requestClass === requestClass && outcome !== 'cancelled',
    )
    // Unanswered requests count with their full timeout, or refusals would lower the latency.
    .map(({ request, outcome, latencyMs }) =>
      outcome === 'answered' ? latencyMs : request.timeoutMs,
    )
    .forEach((ms) => histogram.recordValue(Math.round(ms * unitsPerMs)));
  const getPercentile = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / unitsPerMs;
  return {
    [`${requestClass}-mean`]: histogram.totalCount === 0 ? 0 : histogram.mean / unitsPerMs,
    [`${requestClass}-p50`]: getPercentile(50),
    [`${requestClass}-p99`]: getPercentile(99),
    [`${requestClass}-p99.9`]: getPercentile(99.9),
  };
};

const sumServiceMs = (results: RequestResult[]): number =>
  results.reduce((sum, { request }) => sum + request.serviceMs, 0);

const computeMinMaxRatio = (
  results: RequestResult[],
  weights: Record<string, number>,
  getShare: (ownResults: RequestResult[], weight: number) => number,
): number => {
  const shares = Object.entries(weights).map(([workspace, weight]) =>
    getShare(
      results.filter(({ request }) => request.workspace === workspace),
      weight,
    ),
  );
  return Math.min(...shares) / Math.max(...shares);
};

const listAnswered = (results: RequestResult[], until = Infinity): RequestResult[] =>
  results.filter(
    ({ request, outcome, latencyMs }) =>
      outcome === 'answered' && request.arrivalAt + latencyMs <= until,
  );

/** Computes the measures of one run; latencies are in milliseconds, the others are ratios. */
export const measureRequests = (scenario: RequestScenario, results: RequestResult[]): Measures => {
  const uncancelled = results.filter(({ outcome }) => outcome !== 'cancelled');
  const computeOutcomeShare = (outcomes: RequestResult['outcome'][]): number =>
    uncancelled.filter(({ outcome }) => outcomes.includes(outcome)).length / uncancelled.length;
  const arrivalSpanMs = Math.max(...results.map(({ request }) => request.arrivalAt));
  const slots = scenario.workers.reduce((sum, worker) => sum + worker.slots, 0);
  const usedMs = results.reduce((sum, result) => sum + result.usedMs, 0);
  return {
    ...measureLatency(results, 'counter'),
    ...measureLatency(results, 'batch'),
    refused: computeOutcomeShare(['refused', 'failed']),
    'in-deadline': computeOutcomeShare(['answered']),
    // Served share of the demand of a workspace: lowest divided by highest.
    'served-share': computeMinMaxRatio(
      uncancelled,
      scenario.weights,
      (ownResults) => sumServiceMs(listAnswered(ownResults)) / (sumServiceMs(ownResults) || 1),
    ),
    // Served work per weight of a workspace until the last arrival: lowest divided by highest.
    fairness: computeMinMaxRatio(
      uncancelled,
      scenario.weights,
      (ownResults, weight) => sumServiceMs(listAnswered(ownResults, arrivalSpanMs)) / weight,
    ),
    utilisation: usedMs / (slots * arrivalSpanMs),
  };
};
