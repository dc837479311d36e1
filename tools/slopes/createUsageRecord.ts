import type { UsageRecord } from '../../src/core/usage/UsageRecord.js';
import { fixedTime } from './fixedTime.js';

/** Creates the usage record of a task's start. */
export const createUsageRecord = (index: number): UsageRecord => ({
  kind: 'taskStarted',
  id: `job-000000000017/1/${index}/taskStarted`,
  workspace: 'workspace-0017',
  jobId: 'job-000000000017',
  taskId: `job-000000000017.1.${index}`,
  workerId: 'worker-00017',
  accelerators: 1,
  wall: fixedTime.wall,
});
