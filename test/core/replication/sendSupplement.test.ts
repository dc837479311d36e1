import { expect, test } from '@jest/globals';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import { findMessages } from '../../fixtures/findEffects.js';
import { makeDaemon } from '../../fixtures/makeDaemon.js';
import { makeSnapshotEvent } from '../../fixtures/makeSnapshotEvent.js';

const copy = (state: 'running' | 'finished', changes: object = {}): UntimedEvent => ({
  type: 'replicate',
  from: 'vm-2/scheduler',
  sequence: 1,
  keys: [{ id: 'toys\nk', requestId: 'r1', state }],
  freedKeys: [],
  jobs: [],
  complete: true,
  ...changes,
});

// Guards against a restarted scheduler that leads without what only its peers remember.
test('follower sends what it remembers to a started peer', () => {
  const daemon = makeDaemon('scheduler');
  daemon.push(makeSnapshotEvent(1, ['w1']));
  daemon.push(copy('finished'));
  const effects = daemon.push({ type: 'linkOpened', node: 'vm-3/scheduler', zone: 'zone-a' });
  expect(findMessages(effects, 'replicate')[0]).toMatchObject({
    keys: [{ requestId: 'r1', state: 'finished' }],
    complete: false,
    supplement: true,
  });
});

// Guards against an old memory that overwrites a lead's copy or passes for a complete one.
test('supplement changes nothing that is known', () => {
  const daemon = makeDaemon('scheduler');
  daemon.push(makeSnapshotEvent(1, ['w1']));
  daemon.push(copy('finished'));
  const { lastCompleteCopyAt: lastCopyAt } = daemon.state.replication;
  daemon.advance(500);
  daemon.push(copy('running', { supplement: true, complete: false }));
  expect(daemon.state.routing.keys.get('toys\nk')!.state).toBe('finished');
  expect(daemon.state.replication.lastCompleteCopyAt).toBe(lastCopyAt);
});
