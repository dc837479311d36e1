/* eslint-disable import-x/extensions -- Node needs the extension. */
import startWorker from './worker.mjs';

const buildEntry = (index) => ({
  service: 'svc',
  zone: 'zone-a',
  version: '1',
  slots: 8,
  cold_left_ms: 0,
  capacity: { cpu: 64_000, mem_mb: 131_072, gpu: 8 },
  labels: ['a', `r${index % 2}`],
});

/** Starts workers of the size that the pages give; they end with the case. */
const startWorkers = async (count, { store, plan, record, closeAtEnd }) => {
  const workers = await Promise.all(
    Array.from({ length: count }, (_, index) =>
      startWorker({ id: `i-000000000${index}`, store, plan, record, entry: buildEntry(index) }),
    ),
  );
  workers.forEach((worker) => closeAtEnd(worker.close));
  return workers;
};

export default startWorkers;
