import fs from 'node:fs';
import { stopProcess } from '../cluster/stopProcess.js';
import type { Soak } from './Soak.js';

const stopTimeoutMs = 500;

/** Stops every process of the soak test by its process ID and removes its files. */
export const stopSoak = async ({ folder, store, nodes, workers, timers }: Soak): Promise<void> => {
  timers.forEach(clearInterval);
  const processes = [
    store.process,
    ...nodes.flatMap((node) => [node.process, node.frontendRelay.process, node.storeRelay.process]),
    ...workers.flatMap((worker) => [worker.process, worker.relay.process]),
  ];
  await Promise.all(processes.map((child) => stopProcess(child, 'SIGKILL', stopTimeoutMs)));
  fs.rmSync(folder, { recursive: true, force: true });
};
