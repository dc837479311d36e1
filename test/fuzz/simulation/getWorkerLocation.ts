import type { FakeWorker } from './FakeWorker.js';

/** Place of a worker for the look-up of cuts. */
export const getWorkerLocation = (worker: FakeWorker): { id: string; zone: string } => ({
  id: worker.id,
  zone: worker.zone,
});
