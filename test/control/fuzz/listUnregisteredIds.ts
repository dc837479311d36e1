import type { FakePlatform } from '../simulation/FakePlatform.js';
import { listNewestRecords } from '../simulation/listNewestRecords.js';

/** Lists the workers that are up and have no entry, or can't write theirs. */
export const listUnregisteredIds = (platform: FakePlatform): string[] => {
  const removedIds = listNewestRecords(platform, 'workers')
    .filter(({ record }) => record.type === 'worker' && record.entry === null)
    .map(({ key }) => key);
  return [...platform.workers.values()]
    .filter(({ id, up }) => up && (removedIds.includes(id) || platform.storeCutWorkerIds.has(id)))
    .map(({ id }) => id);
};
