import { createRandom } from '../createRandom.js';
import type { LoadShape } from './LoadShape.js';
import type { RequestClass } from './RequestClass.js';
import type { GeneratedRequest } from './GeneratedRequest.js';
import { workspaceWeights } from './workspaceWeights.js';

const stragglerFactor = 50;
const timeoutMs: Record<RequestClass, number> = { counter: 5000, batch: 30_000 };

/** Generates requests from a seeded Poisson process whose rate follows the load shape. */
export const buildRequests = (shape: LoadShape): GeneratedRequest[] => {
  const random = createRandom(shape.seed);
  const weightedNames = Object.entries(workspaceWeights).flatMap(([name, weight]) =>
    new Array<string>(shape.equalDemand ? 1 : weight).fill(name),
  );
  const { batchShare, meanMs, batchSize = 1, stragglerShare = 0 } = shape;
  const meanServiceMs = batchShare * meanMs.batch + (1 - batchShare) * meanMs.counter;
  const maxRate = (shape.maxLoad * shape.slots) / meanServiceMs;
  const requests: GeneratedRequest[] = [];
  const addRequest = (at: number, requestClass: RequestClass, workspace: string): void => {
    // Uniform between half and one and a half times the mean.
    const serviceMs = meanMs[requestClass] * (0.5 + random());
    requests.push({
      id: `r${requests.length}`,
      arrivalAt: at,
      workspace,
      requestClass,
      serviceMs: random() < stragglerShare ? serviceMs * stragglerFactor : serviceMs,
      timeoutMs: timeoutMs[requestClass],
      cancelsIfWaiting: random() < 0.5,
    });
  };
  for (let at = -Math.log(1 - random()) / maxRate; at < shape.durationMs;) {
    // Thinning: arrivals at the highest rate are accepted in proportion to the current load.
    const isAccepted = random() * shape.maxLoad < shape.load(at);
    const isBatch = random() < batchShare;
    const workspace = weightedNames[Math.floor(random() * weightedNames.length)]!;
    const startsBatch = isBatch && random() < 1 / batchSize;
    if (isAccepted && startsBatch)
      for (let i = 0; i < batchSize; i += 1) addRequest(at, 'batch', workspace);
    if (isAccepted && !isBatch) addRequest(at, 'counter', workspace);
    at += -Math.log(1 - random()) / maxRate;
  }
  return requests;
};
