import { expect, test } from '@jest/globals';
import type { UntimedEvent } from '../../../src/core/UntimedEvent.js';
import { findMessages } from '../../fixtures/findEffects.js';
import { makeDaemon } from '../../fixtures/makeDaemon.js';
import { makeSnapshotEvent } from '../../fixtures/makeSnapshotEvent.js';

const makeCopy = (state: 'running' | 'finished', changes: object = {}): UntimedEvent => ({
  type: 'replicate',
  from: 'vm-2/scheduler',
  sequence: 1,
  keys: [{ id: 'toys\nk', requestId: 'r1', state }],
  freedKeys: [],
  jobs: [],
  complete: true,
  ...changes,
});

// Guards against a restarted scheduler that becomes lead without state that only its peers hold.
test('follower sends its state to a restarted peer', () => {
  const daemon = makeDaemon('scheduler');
  daemon.push(makeSnapshotEvent(1, ['w1']));
  daemon.push(makeCopy('finished'));
  const effects = daemon.push({ type: 'linkOpened', node: 'vm-3/scheduler', zone: 'zone-a' });
  expect(findMessages(effects, 'replicate')[0]).toMatchObject({
    keys: [{ requestId: 'r1', state: 'finished' }],
    complete: false,
    supplement: true,
  });
});

// Guards against an outdated supplement that overwrites the lead's copy or counts as a complete
// one.
test('supplement does not overwrite known state', () => {
  const daemon = makeDaemon('scheduler');
  daemon.push(makeSnapshotEvent(1, ['w1']));
  daemon.push(makeCopy('finished'));
  const { lastCompleteCopyAt } = daemon.state.replication;
  daemon.advance(500);
  daemon.push(makeCopy('running', { supplement: true, complete: false }));
  expect(daemon.state.routing.keys.get('toys\nk')!.state).toBe('finished');
  expect(daemon.state.replication.lastCompleteCopyAt).toBe(lastCompleteCopyAt);
});
