import { expect, test } from '@jest/globals';
import type { FaultAction } from './FaultAction.js';
import { runDay } from './runDay.js';

const buildActions = (
  rows: [kind: FaultAction['kind'], afterMs: number, target: number, lastsMs: number][],
): FaultAction[] =>
  rows.map(([kind, afterMs, target, lastsMs]) => ({ kind, afterMs, target, lastsMs }));

// Seed 77, run 589. A start reached the new life of a worker before the registry told of it; the
// registry's entry then made the lead give up a run that was alive, and the task ran twice.
test('a run in the new life of a worker is kept', () => {
  const actions = buildActions([
    ['submit', 1111, 0, 100],
    ['submit', 185, 0, 100],
    ['submit', 249, 0, 100],
    ['submit', 113, 0, 100],
    ['rebirth', 1077, 0, 100],
    ['submit', 0, 0, 100],
    ['submit', 0, 0, 100],
    ['submit', 0, 0, 100],
    ['submit', 0, 0, 100],
    ['submit', 0, 0, 100],
  ]);
  expect(runDay(1, actions)).toEqual([]);
});
