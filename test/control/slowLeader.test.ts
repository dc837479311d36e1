import { expect, test } from '@jest/globals';
import { createFakePlatform } from './simulation/createFakePlatform.js';
import type { FakePlatform } from './simulation/FakePlatform.js';
import { advanceTime } from './simulation/advanceTime.js';
import { findLeader } from './simulation/findLeader.js';
import { findRunViolations } from './simulation/findRunViolations.js';
import { submitJob } from './simulation/submitJob.js';

const countLogs = ({ logs }: FakePlatform, code: string): number =>
  logs.filter((line) => line.code === code).length;

const pauses = [1200, 1600, 2000, 2400, 3000, 4500];

// Guards against a VM that was paused and takes the leader for dead, because its own view is old.
test.each(pauses)('follower paused for %i ms claims nothing', (pauseMs) => {
  const platform = createFakePlatform({ vms: 3, workers: 2 });
  advanceTime(platform, 4000);
  const leader = findLeader(platform)!;
  const follower = platform.vms.find((vm) => vm !== leader)!;
  follower.pausedUntil = platform.now + pauseMs;
  advanceTime(platform, pauseMs + 4000);
  expect(findLeader(platform)).toBe(leader);
  expect(countLogs(platform, 'term_begun')).toBe(1);
});

const offsets = [0, 5, 10, 20, 30, 45, 60, 80];

// Guards against a listing that is read long after it was sent: it shows old progress, not a stall.
test.each(offsets)('listing read late stops no run (%i ms)', (offsetMs) => {
  const platform = createFakePlatform({ vms: 1, workers: 1, maxLeaseMs: 10_000 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 12_000 });
  submitJob(platform, 'b', { runMs: 1000 });
  for (let ms = 0; ms < 5000 && countLogs(platform, 'task_done') === 0; ms += 1) {
    advanceTime(platform, 1);
  }
  advanceTime(platform, offsetMs);
  platform.vms[0]!.pausedUntil = platform.now + 6000;
  advanceTime(platform, 20_000);
  expect(countLogs(platform, 'run_stopping')).toBe(0);
  expect(platform.runs.map(({ kind }) => kind)).toEqual(['done', 'done']);
  expect(findRunViolations(platform)).toEqual([]);
});

// Guards against one record that stops a VM from following its stream.
test('record that no handler can apply is passed over', () => {
  const platform = createFakePlatform({ vms: 1, workers: 1 });
  advanceTime(platform, 3000);
  const [vm] = platform.vms;
  const { streams } = vm!.state;
  const record = { type: 'submission', submission: null, offset: streams.journal.nextOffset };
  const readId = streams.journal.pendingReadId;
  const nextOffset = streams.journal.nextOffset + 1;
  platform.push(vm!, {
    type: 'streamRead',
    stream: 'journal',
    readId,
    records: [record as never],
    nextOffset,
    endOffset: nextOffset,
  });
  expect(countLogs(platform, 'record_not_applied')).toBe(1);
  expect(streams.journal.nextOffset).toBe(nextOffset);
});

// Guards against a leader that goes on with a term whose state may be half updated.
test('failed handler ends the term, and another begins', () => {
  const platform = createFakePlatform({ vms: 1, workers: 1 });
  advanceTime(platform, 3000);
  submitJob(platform, 'a', { runMs: 4000 });
  advanceTime(platform, 500);
  platform.push(findLeader(platform)!, { type: 'handlerFailed', failedType: 'tick' });
  expect(findLeader(platform)).toBeUndefined();
  advanceTime(platform, 10_000);
  expect(platform.runs.map(({ kind }) => kind)).toEqual(['done']);
});

// Guards against a leader that was paused and sends a start on a permission that has run out: a successor
// may have given the start up, and a worker that restarted has seen no newer token.
test.each([1300, 2000, 5000])('start is not sent after a pause of %i ms', (pauseMs) => {
  const platform = createFakePlatform({ vms: 2, workers: 2, maxLeaseMs: 10_000 });
  // Just after a poll of the idle workers, so that their listings alone would allow the start.
  advanceTime(platform, 3600);
  const leader = findLeader(platform)!;
  submitJob(platform, 'a', { runMs: 3000 });
  const isStarting = (): boolean =>
    (leader.state.term?.writers.runs.pending?.startsToSend.length ?? 0) > 0;
  for (let ms = 0; ms < 1000 && !isStarting(); ms += 1) advanceTime(platform, 1);
  expect(isStarting()).toBe(true);
  const resumesAt = platform.now + pauseMs;
  leader.pausedUntil = resumesAt;
  const { token } = leader.state.term!;
  advanceTime(platform, pauseMs + 12_000);
  const lateStarts = platform.logs.filter(
    ({ code, fields, at }) =>
      code === 'run_starting' && fields.token === token && fields.run === 1 && at >= resumesAt - 1,
  );
  expect(lateStarts).toEqual([]);
  expect(platform.runs.map(({ kind }) => kind)).toEqual(['done']);
  expect(findRunViolations(platform)).toEqual([]);
});
