import { build } from 'hdr-histogram-js';
import type { Measures } from '../Measures.js';
import type { RequestClass } from './RequestClass.js';
import type { RequestResult } from './RequestResult.js';
import type { RequestScenario } from './RequestScenario.js';

// The histogram counts whole numbers; 10 µs is fine enough for the shortest service times.
const unitsPerMs = 100;

const measureLatency = (results: RequestResult[], requestClass: RequestClass): Measures => {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  results
    .filter(
      ({ request, outcome: end }) => request.requestClass === requestClass && end !== 'cancelled',
    )
    // A request without an answer counts with its whole time limit; otherwise refusing would look fast.
    .map(({ request, outcome: end, latencyMs }) =>
      end === 'answered' ? latencyMs : request.timeoutMs,
    )
    .forEach((ms) => histogram.recordValue(Math.round(ms * unitsPerMs)));
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / unitsPerMs;
  return {
    [`${requestClass}-mean`]: histogram.totalCount === 0 ? 0 : histogram.mean / unitsPerMs,
    [`${requestClass}-p50`]: at(50),
    [`${requestClass}-p99`]: at(99),
    [`${requestClass}-p99.9`]: at(99.9),
  };
};

const computeWork = (results: RequestResult[]): number =>
  results.reduce((sum, { request }) => sum + request.serviceMs, 0);

const compareShares = (
  results: RequestResult[],
  weights: Record<string, number>,
  getShare: (own: RequestResult[], weight: number) => number,
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
    ({ request, outcome: end, latencyMs }) =>
      end === 'answered' && request.arrivalAt + latencyMs <= until,
  );

/** Computes the measures of one run; latencies in milliseconds, the others as shares. */
export const measureRequests = (scenario: RequestScenario, results: RequestResult[]): Measures => {
  const kept = results.filter(({ outcome: end }) => end !== 'cancelled');
  const countEnds = (ends: RequestResult['outcome'][]): number =>
    kept.filter(({ outcome: end }) => ends.includes(end)).length / kept.length;
  const spanMs = Math.max(...results.map(({ request }) => request.arrivalAt));
  const slots = scenario.workers.reduce((sum, worker) => sum + worker.slots, 0);
  const usedMs = results.reduce((sum, result) => sum + result.usedMs, 0);
  return {
    ...measureLatency(results, 'counter'),
    ...measureLatency(results, 'batch'),
    refused: countEnds(['refused', 'failed']),
    'in-deadline': countEnds(['answered']),
    // Least by greatest share of the own demand that was served.
    'served-share': compareShares(
      kept,
      scenario.weights,
      (own) => computeWork(listAnswered(own)) / (computeWork(own) || 1),
    ),
    // Least by greatest work served per weight until the last arrival.
    fairness: compareShares(
      kept,
      scenario.weights,
      (own, weight) => computeWork(listAnswered(own, spanMs)) / weight,
    ),
    utilisation: usedMs / (slots * spanMs),
  };
};
