import { expect, test } from '@jest/globals';
import { createRelayState } from '../../../standins/relay/createRelayState.js';
import { reduceRelay } from '../../../standins/relay/reduceRelay.js';
import type { RelayEvent } from '../../../standins/relay/RelayEvent.js';
import type { RelayFaults } from '../../../standins/relay/RelayFaults.js';

const createRelay = () => {
  const state = createRelayState();
  const applyAt = (at: number, event: RelayEvent) =>
    reduceRelay(state, { ...event, at, wall: at }).filter((effect) => effect.type !== 'answer');
  const setFaults = (at: number, faults: Partial<RelayFaults>) =>
    applyAt(at, { type: 'faultsRequested', requestId: 'f', faults });
  return { state, applyAt, setFaults };
};
const open = { type: 'connectionOpened', connectionId: 'c' } as const;
const data = Buffer.from('x');
const read = { type: 'dataRead', connectionId: 'c', side: 'client', data } as const;
const noWake = { type: 'wake', at: null };
const setReading = (side: string, reading: boolean) => ({ type: 'setReading', side, reading });

// Guards against data that is delivered before its delay, or an end that overtakes delayed data.
test('delay keeps data and end in order', () => {
  const { applyAt, setFaults } = createRelay();
  setFaults(0, { delayMs: 30 });
  applyAt(0, open);
  expect(applyAt(1, read)).toEqual([{ type: 'wake', at: 31 }]);
  setFaults(2, { delayMs: 0 });
  expect(applyAt(2, { type: 'sideEnded', connectionId: 'c', side: 'client' })).toEqual([
    { type: 'wake', at: 31 },
  ]);
  expect(applyAt(31, { type: 'tick' })).toMatchObject([
    { type: 'writeData', side: 'target', data },
    { type: 'endSide', side: 'target' },
    noWake,
  ]);
});

// Guards against a freezing cut that passes on data, a failed side or a new connection during the
// cut, or that loses them when it ends.
test('frozen cut delivers everything afterwards', () => {
  const { applyAt, setFaults } = createRelay();
  applyAt(0, open);
  expect(setFaults(1, { cut: true })).toMatchObject([
    setReading('client', false),
    setReading('target', false),
    noWake,
  ]);
  expect(applyAt(2, read)).toEqual([noWake]);
  expect(
    applyAt(3, { type: 'sideClosed', connectionId: 'c', side: 'client', failed: true }),
  ).toEqual([noWake]);
  expect(applyAt(4, { type: 'connectionOpened', connectionId: 'd' })).toEqual([noWake]);
  expect(setFaults(5, { cut: false }).map(({ type }) => type)).toEqual([
    'writeData',
    'resetSide',
    'setReading',
    'setReading',
    'openTarget',
    'setReading',
    'setReading',
    'wake',
  ]);
});

// Guards against a reset cut that keeps open connections or accepts new ones.
test('reset cut closes old and new connections', () => {
  const { applyAt, setFaults, state } = createRelay();
  applyAt(0, open);
  const reset = [
    { type: 'resetSide', side: 'client' },
    { type: 'resetSide', side: 'target' },
    noWake,
  ];
  expect(setFaults(1, { cut: true, cutMode: 'reset' })).toMatchObject(reset);
  expect(applyAt(2, { type: 'connectionOpened', connectionId: 'd' })).toMatchObject(reset);
  expect(state.connections.size).toBe(0);
});

// Guards against unbounded buffering for a side that does not read.
test('blocked side pauses reading from the other', () => {
  const { applyAt } = createRelay();
  applyAt(0, open);
  const blocked = { type: 'writeBlocked', connectionId: 'c', side: 'target' } as const;
  expect(applyAt(1, blocked)).toMatchObject([setReading('client', false), noWake]);
  const drained = { ...blocked, type: 'writeDrained' } as const;
  expect(applyAt(2, drained)).toMatchObject([setReading('client', true), noWake]);
});
