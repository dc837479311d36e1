import { expect, test } from '@jest/globals';
import { createState } from '../../src/control/createState.js';
import { reduce } from '../../src/control/reduce.js';

const bounds = { maxLeaseMs: 6000, statusKeepMs: 120_000, graceMs: 6000 };
const storeLimits = { maxRecordBytes: 100_000, maxCallBytes: 1_000_000 };
const self = { vmId: 'vm-1', zone: 'z', cores: 1, incarnation: 'i' };

const applySettings = (next: Partial<typeof bounds>) => {
  const state = createState({ ...self }, bounds);
  const settings = { cores: 0.5, bounds: { ...bounds, ...next }, storeLimits };
  reduce(state, { type: 'settingsChanged', settings, at: 10, wall: 1000, responsiveAt: 10 });
  return state;
};

// Guards against changed bounds, limits or cores that take effect only at the next restart.
test('changed bounds and cores take effect', () => {
  const state = applySettings({ graceMs: 3000 });
  expect(state.bounds.graceMs).toBe(3000);
  expect(state.self.cores).toBe(0.5);
  expect(state.storeLimits).toEqual(storeLimits);
});

// Guards against a second run of a task beside one whose lease was granted before the maximum was reduced.
test('the maximum lease can be raised but not reduced', () => {
  expect(applySettings({ maxLeaseMs: 3000 }).bounds.maxLeaseMs).toBe(6000);
  expect(applySettings({ maxLeaseMs: 9000 }).bounds.maxLeaseMs).toBe(9000);
});
