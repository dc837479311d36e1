import { readClock } from '../../standins/shared/readClock.js';
import type { Soak } from './Soak.js';
import type { SoakWorker } from './SoakWorker.js';

const workersPerRack = 3;

/** Builds the registry entry of a worker; a draining one tells the minimum time that is left. */
export const buildWorkerEntry = (soak: Soak, worker: SoakWorker): Record<string, unknown> => {
  const { state, leavesAt } = worker.registration;
  const rack = `r${Math.floor(soak.workers.indexOf(worker) / workersPerRack)}`;
  const remainingMs =
    leavesAt === null ? {} : { remaining_ms: Math.max(0, Math.round(leavesAt - readClock().at)) };
  return {
    service: 'svc',
    address: `127.0.0.1:${worker.relay.port}`,
    zone: 'zone-a',
    state,
    capacity: { cpu: 64_000, mem_mb: 131_072, gpu: 8 },
    labels: ['a', rack],
    born: worker.incarnation,
    ...remainingMs,
  };
};
