import { expect, test } from '@jest/globals';
import { advanceTime } from './simulation/advanceTime.js';
import {
  createFakePlatform,
  killWorker,
  publishWorkerEntry,
} from './simulation/createFakePlatform.js';
import { submitJob } from './simulation/submitJob.js';

// Guards against lost runs whose log lines don't tell a lapsed lease from a worker that left.
test('a lost run is logged with the view of its worker', () => {
  const platform = createFakePlatform({ vms: 1, workers: 2 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 20_000 });
  advanceTime(platform, 500);
  const { workerId } = platform.runs[0]!;
  killWorker(platform, workerId);
  publishWorkerEntry(platform, workerId, 'gone');
  advanceTime(platform, 9000);
  const { fields } = platform.logs.find(({ code }) => code === 'run_over')!;
  expect(fields).toMatchObject({ cause: 'lease-over', entry: 'none', draining: false });
  expect(fields.leaseLeftMs).toBeLessThan(0);
  expect(fields.heardMs).toBeGreaterThan(6000);
  expect(fields.removedMs).toBeGreaterThan(5000);
});
