import type { FakeWorker } from './FakeWorker.js';

/** Returns the id and zone of a worker, by which partitions select machines. */
export const getWorkerLocation = (worker: FakeWorker): { id: string; zone: string } => ({
  id: worker.id,
  zone: worker.zone,
});
