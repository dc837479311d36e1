import { createRandom } from '../createRandom.js';
import type { LoadShape } from './LoadShape.js';
import type { RequestClass } from './RequestClass.js';
import type { GeneratedRequest } from './GeneratedRequest.js';
import { workspaceWeights } from './workspaceWeights.js';

const stragglerFactor = 50;
const timeoutMs: Record<RequestClass, number> = { counter: 5000, batch: 30_000 };

/** Draws requests from a seeded Poisson process whose rate follows the load shape. */
export const buildRequests = (shape: LoadShape): GeneratedRequest[] => {
  const random = createRandom(shape.seed);
  const names = Object.entries(workspaceWeights).flatMap(([name, weight]) =>
    new Array<string>(shape.equalDemand ? 1 : weight).fill(name),
  );
  const { batchShare, meanMs, batchSize = 1, stragglerShare = 0 } = shape;
  const meanSizeMs = batchShare * meanMs.batch + (1 - batchShare) * meanMs.counter;
  const maxRate = (shape.maxLoad * shape.slots) / meanSizeMs;
  const requests: GeneratedRequest[] = [];
  const add = (at: number, requestClass: RequestClass, workspace: string): void => {
    // Uniform between half and one and a half times the mean.
    const size = meanMs[requestClass] * (0.5 + random());
    requests.push({
      id: `r${requests.length}`,
      arrivalAt: at,
      workspace,
      requestClass,
      serviceMs: random() < stragglerShare ? size * stragglerFactor : size,
      timeoutMs: timeoutMs[requestClass],
      cancelsIfWaiting: random() < 0.5,
    });
  };
  for (let at = -Math.log(1 - random()) / maxRate; at < shape.durationMs;) {
    const isTaken = random() * shape.maxLoad < shape.load(at);
    const isBatch = random() < batchShare;
    const workspace = names[Math.floor(random() * names.length)]!;
    const isGroup = isBatch && random() < 1 / batchSize;
    if (isTaken && isGroup) for (let i = 0; i < batchSize; i += 1) add(at, 'batch', workspace);
    if (isTaken && !isBatch) add(at, 'counter', workspace);
    at += -Math.log(1 - random()) / maxRate;
  }
  return requests;
};
