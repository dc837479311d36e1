import { buildRequests } from '../requests/buildRequests.js';
import { buildWorkers } from '../requests/buildWorkers.js';
import type { LoadShape } from '../requests/LoadShape.js';
import type { RequestScenario } from '../requests/RequestScenario.js';
import { workspaceWeights } from '../requests/workspaceWeights.js';
import type { RequestExperiment } from './RequestExperiment.js';

const workerCount = 8;
const slots = 64;
const evenSlownesses = new Array<number>(workerCount).fill(1);
const meanMs = { counter: 40, batch: 1500 };

const buildScenario = (
  shape: Omit<LoadShape, 'slots' | 'meanMs' | 'batchShare'> & Partial<LoadShape>,
  slownesses = evenSlownesses,
): RequestScenario => ({
  requests: buildRequests({ slots, meanMs, batchShare: 0.05, ...shape }),
  workers: buildWorkers(slownesses),
  weights: workspaceWeights,
  maxQueuedRequests: 500,
  cancelAt: null,
});

const buildSteadyLoad = (seed: number, durationMs: number, load: number) => ({
  seed,
  durationMs,
  load: () => load,
  maxLoad: load,
});

/** Request experiments by name. */
export const requestExperiments: Record<string, RequestExperiment> = {
  // Load rises from 15% to 150% of the capacity within 2 s and falls back halfway through the run.
  'closing-time-crest': (seed, scale) => {
    const durationMs = 30_000 * scale;
    const overload = { from: durationMs / 6, endAt: durationMs / 2 };
    const load = (at: number): number => {
      if (at < overload.from || at >= overload.endAt) return 0.15;
      return 0.15 * (1 + 9 * Math.min(1, (at - overload.from) / 2000));
    };
    return buildScenario({ seed, durationMs, load, maxLoad: 1.5 });
  },
  // 1% of the requests run 50 times longer, which adds another half of the load. Batch requests are
  // short enough here that most of the stragglers end within the callers' timeout of 30 s.
  stragglers: (seed, scale) =>
    buildScenario({
      ...buildSteadyLoad(seed, 30_000 * scale, 0.6),
      stragglerShare: 0.01,
      meanMs: { counter: 40, batch: 300 },
    }),
  // Slowness 1 to 4: the capacity is 0.53 of that of equal workers, so the load is 85% of it.
  'unequal-workers': (seed, scale) =>
    buildScenario(buildSteadyLoad(seed, 30_000 * scale, 0.45), [4, 1, 3, 2, 1.5, 2.5, 3.5, 1.25]),
  'failing-worker': (seed, scale) => {
    const scenario = buildScenario(buildSteadyLoad(seed, 40_000 * scale, 0.7));
    scenario.workers[3]!.failsFrom = 5000 * scale;
    return scenario;
  },
  // Batches of 100 long requests arrive at once, in addition to the short ones.
  'mixed-classes': (seed, scale) =>
    buildScenario({ ...buildSteadyLoad(seed, 30_000 * scale, 0.9), batchSize: 100 }),
  // Each workspace demands half of the zone, so that the shares must follow the weights.
  'equal-demand': (seed, scale) =>
    buildScenario({ ...buildSteadyLoad(seed, 20_000 * scale, 2), equalDemand: true }),
  // Overload for half of the run; then half of the waiting callers leave at once.
  'cancellation-wave': (seed, scale) => {
    const durationMs = 20_000 * scale;
    const load = (at: number): number => (at < durationMs / 2 ? 1.4 : 0.8);
    const scenario = buildScenario({ seed, durationMs, load, maxLoad: 1.4 });
    return { ...scenario, cancelAt: durationMs / 2 };
  },
};
