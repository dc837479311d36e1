import { assertCondition } from './assertCondition.js';
import type { DemoContext } from './DemoContext.js';
import type { DemoStep } from './DemoStep.js';
import { sendBurst } from './sendBurst.js';

const requestCount = 300;

const run = async (context: DemoContext): Promise<void> => {
  const ports = context.cluster.vms.map(({ httpPort }) => httpPort);
  const result = await sendBurst(context, requestCount, ports);
  context.print(JSON.stringify(result));
  assertCondition(result.answered === requestCount, 'every request of the burst is answered');
  assertCondition(result.foreign === 0, 'every answer belongs to its request');
};

/** Sends a burst of short requests through all gateways. */
export const burstRequests: DemoStep = { title: 'a burst of short requests', run };
