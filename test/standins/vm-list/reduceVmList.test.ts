import { expect, test } from '@jest/globals';
import { createVmListState } from '../../../standins/vm-list/createVmListState.js';
import { reduceVmList } from '../../../standins/vm-list/reduceVmList.js';
import type { VmListEvent } from '../../../standins/vm-list/VmListEvent.js';

const createList = () => {
  const state = createVmListState(100, ['vm-1']);
  const applyAt = (at: number, event: VmListEvent) =>
    reduceVmList(state, { ...event, at, wall: at });
  const list = (at: number) => applyAt(at, { type: 'listRequested', requestId: 'l' });
  return { applyAt, list };
};
const change = (id: string, state: 'live' | 'leaving' | null): VmListEvent => ({
  type: 'changeRequested',
  requestId: 'c',
  id,
  state,
});

// Guards against a list that shows a change before its delay has passed, or out of order.
test('changes appear after the delay', () => {
  const { applyAt, list } = createList();
  applyAt(0, change('vm-1', 'leaving'));
  applyAt(50, change('vm-1', null));
  applyAt(50, change('vm-2', 'live'));
  expect(list(99)).toMatchObject([{ body: { vms: [{ id: 'vm-1', state: 'live' }] } }]);
  expect(list(100)).toMatchObject([{ body: { vms: [{ id: 'vm-1', state: 'leaving' }] } }]);
  expect(list(150)).toMatchObject([{ body: { vms: [{ id: 'vm-2', state: 'live' }] } }]);
});

// Guards against an outage in which a refused change is applied.
test('outage refuses changes', () => {
  const { applyAt, list } = createList();
  applyAt(0, { type: 'faultsRequested', requestId: 'f', outage: true });
  expect(applyAt(1, change('vm-1', null))).toMatchObject([{ status: 503 }]);
  applyAt(2, { type: 'faultsRequested', requestId: 'f', outage: false });
  expect(list(500)).toMatchObject([{ status: 200, body: { vms: [{ id: 'vm-1' }] } }]);
});
