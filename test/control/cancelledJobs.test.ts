import { expect, test } from '@jest/globals';
import { applyRecord } from '../../src/control/journal/applyRecord.js';
import { advanceTime } from './simulation/advanceTime.js';
import { createFakePlatform } from './simulation/createFakePlatform.js';
import type { FakePlatform } from './simulation/FakePlatform.js';
import { findLeader } from './simulation/findLeader.js';
import { simulationStartMs } from './simulation/simulationStartMs.js';
import { submitJob } from './simulation/submitJob.js';

const listRunsOf = ({ runs }: FakePlatform, id: string) =>
  runs.filter(({ task }) => task.startsWith(id.padStart(16, '0')));

// Guards against a leader that writes but can't read: it started tasks of a job seconds after its cancelling had
// been acknowledged by another VM.
test('a leader that can not read the journal starts no tasks', () => {
  const platform = createFakePlatform({ vms: 2, workers: 1 });
  advanceTime(platform, 3000);
  const leader = findLeader(platform)!;
  const other = platform.vms.findIndex((vm) => vm !== leader);
  submitJob(platform, 'a', { vm: other, runMs: 5000, gpu: 8 });
  advanceTime(platform, 500);
  submitJob(platform, 'b', { vm: other });
  advanceTime(platform, 500);
  platform.store.refusedReaderIds.add(leader.id);
  advanceTime(platform, 100);
  const requestId = submitJob(platform, 'b', { vm: other, operation: 'cancel' });
  advanceTime(platform, 8000);
  expect(platform.answers.get(requestId)).toEqual({ type: 'accepted' });
  expect(findLeader(platform)).toBe(leader);
  expect(listRunsOf(platform, 'b')).toHaveLength(0);
  platform.store.refusedReaderIds.clear();
  submitJob(platform, 'c', { vm: other });
  advanceTime(platform, 3000);
  expect(listRunsOf(platform, 'c')).toHaveLength(1);
  expect(listRunsOf(platform, 'b')).toHaveLength(0);
});

// Guards against a leader that reads the journal by pages again and finds the cancellation before the submission:
// the job was planned as if nobody had cancelled it.
test('a cancellation read before its submission holds', () => {
  const platform = createFakePlatform({ vms: 1, workers: 1 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 500 });
  advanceTime(platform, 2000);
  const { state } = findLeader(platform)!;
  const { submission } = state.jobs.get('a'.padStart(16, '0'))!;
  const id = 'b'.padStart(16, '0');
  const wall = simulationStartMs + platform.now;
  const now = { at: platform.now, wall, responsiveAt: platform.now };
  applyRecord(state, { type: 'cancellation', id, at: wall, offset: 2 }, now);
  applyRecord(state, { type: 'submission', submission: { ...submission!, id }, offset: 1 }, now);
  advanceTime(platform, 3000);
  expect(listRunsOf(platform, 'b')).toHaveLength(0);
  expect(state.jobs.get(id)?.state).toBe('cancelled');
});
