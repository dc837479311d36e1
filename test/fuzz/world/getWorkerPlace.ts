import type { FakeWorker } from './FakeWorker.js';

/** Place of a worker for the look-up of cuts. */
export const getWorkerPlace = (worker: FakeWorker): { id: string; zone: string } => ({
  id: worker.id,
  zone: worker.zone,
});
