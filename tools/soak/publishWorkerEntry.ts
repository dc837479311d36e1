import { publishRecord } from './publishRecord.js';
import type { Soak } from './Soak.js';
import type { SoakWorker } from './SoakWorker.js';

const workersPerRack = 3;

/** Publishes the registry entry of a worker. */
export const publishWorkerEntry = (
  soak: Soak,
  worker: SoakWorker,
  state: 'ready' | 'draining',
): Promise<void> => {
  const rack = `r${Math.floor(soak.workers.indexOf(worker) / workersPerRack)}`;
  return publishRecord(soak.store.port, 'keyed.servers', worker.id, {
    service: 'svc',
    address: `127.0.0.1:${worker.relay.port}`,
    zone: 'zone-a',
    state,
    capacity: { cpu: 64_000, mem_mb: 131_072, gpu: 8 },
    labels: ['a', rack],
    born: worker.incarnation,
  });
};
