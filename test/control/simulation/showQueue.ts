import type { FakePlatform } from './FakePlatform.js';

// Above the request IDs of submitted jobs.
let lastRequestId = 1_000_000;

/** Asks a VM for the number of queued jobs of the batch queue; returns the request ID, the key of the answer. */
export const showQueue = (platform: FakePlatform, vm: number): number => {
  lastRequestId += 1;
  platform.push(platform.vms[vm]!, {
    type: 'callerRequested',
    request: {
      requestId: lastRequestId,
      operation: 'show',
      host: 'h',
      path: '/b/',
      apiKey: 'key',
      definition: null,
      definitionProblem: '',
      timeoutMs: 3000,
    },
  });
  return lastRequestId;
};
