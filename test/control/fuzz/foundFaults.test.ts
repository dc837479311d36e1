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

// Seed 87, run 41. A VM read the claims of a lead that it heard of in the meantime, and claimed all the
// same; the second take-over met an outage of the store, and the ends that it learned of after that
// were billed up to then.
test('no claim against a lead that was heard of, no bill for an unseen time', () => {
  const actions = buildActions([
    ['kill', 0, 11, 1237],
    ['submit', 87, 0, 100],
    ['submit', 588, 0, 100],
    ['submit', 625, 0, 100],
    ['submit', 0, 0, 100],
    ['storeDown', 263, 0, 3931],
  ]);
  expect(runDay(1, actions)).toEqual([]);
});

// Seed 87, run 288. A suspended lead took over an answer three seconds late and billed up to then.
test('the time of a suspension is not billed', () => {
  const actions = buildActions([
    ['freeze', 0, 5, 2844],
    ['storeDown', 0, 0, 458],
    ['submit', 345, 0, 100],
    ['ordersLate', 496, 0, 100],
    ['submit', 803, 0, 100],
    ['submit', 438, 0, 100],
    ['rebirth', 789, 9, 100],
    ['submit', 0, 0, 100],
  ]);
  expect(runDay(1, actions)).toEqual([]);
});

// Seed 94, run 185. A number of ends reached a worker's new life, waited there for its first ends, and
// made it forget them; the tasks ran again.
test('ends of a new life outlive the acknowledgement of the former one', () => {
  const actions = buildActions([
    ['submitSteps', 0, 0, 100],
    ['freeze', 10, 2, 100],
    ['rebirth', 335, 7, 100],
    ['submit', 0, 0, 100],
    ['submit', 0, 0, 100],
    ['submit', 0, 0, 100],
    ['submit', 0, 0, 100],
  ]);
  expect(runDay(1, actions)).toEqual([]);
});

// Seed 203, run 22. A worker came back from behind a cut and listed the end of a run that had been
// given up; a task that lasts was then started again beside its present run.
test('an old end of a task that lasts changes nothing', () => {
  const actions = buildActions([
    ['submitLasting', 0, 0, 100],
    ['cutWorkerOff', 347, 1, 2989],
    ['submit', 0, 0, 135],
    ['submit', 0, 0, 100],
    ['submit', 0, 0, 100],
  ]);
  expect(runDay(1, actions)).toEqual([]);
});

// Seed 212, run 491. A suspended lead took over an old answer and asked again at once; the run had ended
// in between, and the time of the suspension was billed.
test('an old answer is no sighting of the moment', () => {
  const actions = buildActions([
    ['submit', 0, 0, 3073],
    ['storeDown', 753, 0, 3118],
    ['submit', 358, 0, 100],
    ['submit', 10, 0, 100],
    ['submit', 1191, 0, 100],
    ['freeze', 53, 0, 4019],
    ['submit', 13, 1, 100],
    ['submit', 2, 1, 100],
    ['submit', 804, 0, 100],
    ['submit', 0, 0, 100],
    ['submit', 0, 0, 100],
  ]);
  expect(runDay(165_266, actions)).toEqual([]);
});

// Seed 237, run 193. A run's worker restarted while the stop of the run had no answer; the time until
// the new life had answered the stop was billed.
test('a new life of a worker is not billed for the former one', () => {
  const actions = buildActions([
    ['submitApart', 0, 3, 100],
    ['ordersLate', 0, 0, 100],
    ['rebirth', 32, 0, 100],
    ['crashWorker', 313, 1, 100],
    ['cancel', 0, 0, 100],
  ]);
  expect(runDay(1, actions)).toEqual([]);
});
