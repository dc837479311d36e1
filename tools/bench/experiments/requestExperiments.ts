import { buildRequests } from '../requests/buildRequests.js';
import { buildWorkers } from '../requests/buildWorkers.js';
import type { LoadShape } from '../requests/LoadShape.js';
import type { RequestScenario } from '../requests/RequestScenario.js';
import { workspaceWeights } from '../requests/workspaceWeights.js';
import type { RequestExperiment } from './RequestExperiment.js';

const workerCount = 8;
const slots = 64;
const evenSpeeds = new Array<number>(workerCount).fill(1);
const meanMs = { counter: 40, batch: 1500 };

const buildScenario = (
  shape: Omit<LoadShape, 'slots' | 'meanMs' | 'batchShare'> & Partial<LoadShape>,
  slownesses = evenSpeeds,
): RequestScenario => ({
  requests: buildRequests({ slots, meanMs, batchShare: 0.05, ...shape }),
  workers: buildWorkers(slownesses),
  weights: workspaceWeights,
  maxQueuedRequests: 500,
  cancelAt: null,
});

const buildSteady = (seed: number, durationMs: number, load: number) => ({
  seed,
  durationMs,
  load: () => load,
  maxLoad: load,
});

/** Request experiments by name. */
export const requestExperiments: Record<string, RequestExperiment> = {
  // From 15% to 150% of the capacity within 2 s; the crest lasts until half of the run.
  'closing-time-crest': (seed, scale) => {
    const durationMs = 30_000 * scale;
    const rise = { from: durationMs / 6, endAt: durationMs / 2 };
    const load = (at: number): number => {
      if (at < rise.from || at >= rise.endAt) return 0.15;
      return 0.15 * (1 + 9 * Math.min(1, (at - rise.from) / 2000));
    };
    return buildScenario({ seed, durationMs, load, maxLoad: 1.5 });
  },
  // 1% of the requests run 50 times longer, which adds half of the load on top. Batch requests are
  // short enough here that most of the long ones end within the callers' 30 s.
  stragglers: (seed, scale) =>
    buildScenario({
      ...buildSteady(seed, 30_000 * scale, 0.6),
      stragglerShare: 0.01,
      meanMs: { counter: 40, batch: 300 },
    }),
  // Slowness 1 to 4; the capacity is 0.53 of that of even workers, so the load is 85% of it.
  'unequal-workers': (seed, scale) =>
    buildScenario(buildSteady(seed, 30_000 * scale, 0.45), [4, 1, 3, 2, 1.5, 2.5, 3.5, 1.25]),
  'failing-worker': (seed, scale) => {
    const scenario = buildScenario(buildSteady(seed, 40_000 * scale, 0.7));
    scenario.workers[3]!.failsFrom = 5000 * scale;
    return scenario;
  },
  // Batches of 100 long requests arrive together beside the short ones.
  'mixed-classes': (seed, scale) =>
    buildScenario({ ...buildSteady(seed, 30_000 * scale, 0.9), batchSize: 100 }),
  // Every workspace asks for half of the zone, so that the shares must follow the weights.
  'equal-demand': (seed, scale) =>
    buildScenario({ ...buildSteady(seed, 20_000 * scale, 2), equalDemand: true }),
  // Overload for half of the run; then half of the waiting callers leave at once.
  'cancellation-wave': (seed, scale) => {
    const durationMs = 20_000 * scale;
    const load = (at: number): number => (at < durationMs / 2 ? 1.4 : 0.8);
    const scenario = buildScenario({ seed, durationMs, load, maxLoad: 1.4 });
    return { ...scenario, cancelAt: durationMs / 2 };
  },
};
