import { expect, test } from '@jest/globals';
import type { ScenarioAction } from './ScenarioAction.js';
import { runScenario } from './runScenario.js';

type ActionRow = [
  kind: ScenarioAction['kind'],
  afterMs: number,
  target: number,
  durationMs: number,
];

const regressions: [name: string, seed: number, rows: ActionRow[]][] = [
  // Seed 77, run 589. A start reached the new life of a worker before the registry told of it; the
  // registry's entry then made the lead give up a run that was alive, and the task ran twice.
  [
    'a run in the new life of a worker is kept',
    1,
    [
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
    ],
  ],
  // Seed 87, run 41. A VM read the claims of a lead that it heard of in the meantime, and claimed all the
  // same; the second take-over met an outage of the store, and the ends that it learned of after that
  // were billed up to then.
  [
    'no claim against a lead that was heard of, no bill for an unseen time',
    1,
    [
      ['kill', 0, 11, 1237],
      ['submit', 87, 0, 100],
      ['submit', 588, 0, 100],
      ['submit', 625, 0, 100],
      ['submit', 0, 0, 100],
      ['storeDown', 263, 0, 3931],
    ],
  ],
  // Seed 87, run 288. A suspended lead took over an answer three seconds late and billed up to then.
  [
    'the time of a suspension is not billed',
    1,
    [
      ['freeze', 0, 5, 2844],
      ['storeDown', 0, 0, 458],
      ['submit', 345, 0, 100],
      ['ordersLate', 496, 0, 100],
      ['submit', 803, 0, 100],
      ['submit', 438, 0, 100],
      ['rebirth', 789, 9, 100],
      ['submit', 0, 0, 100],
    ],
  ],
  // Seed 94, run 185. A number of ends reached a worker's new life, waited there for its first ends, and
  // made it forget them; the tasks ran again.
  [
    'ends of a new life outlive the acknowledgement of the former one',
    1,
    [
      ['submitSteps', 0, 0, 100],
      ['freeze', 10, 2, 100],
      ['rebirth', 335, 7, 100],
      ['submit', 0, 0, 100],
      ['submit', 0, 0, 100],
      ['submit', 0, 0, 100],
      ['submit', 0, 0, 100],
    ],
  ],
  // Seed 203, run 22. A worker came back from behind a cut and listed the end of a run that had been
  // given up; a task that lasts was then started again beside its present run.
  [
    'an old end of a task that lasts changes nothing',
    1,
    [
      ['submitLasting', 0, 0, 100],
      ['cutWorkerOff', 347, 1, 2989],
      ['submit', 0, 0, 135],
      ['submit', 0, 0, 100],
      ['submit', 0, 0, 100],
    ],
  ],
  // Seed 212, run 491. A suspended lead took over an old answer and asked again at once; the run had ended
  // in between, and the time of the suspension was billed.
  [
    'an old answer is no sighting of the moment',
    165_266,
    [
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
    ],
  ],
  // Seed 237, run 193. A run's worker restarted while the stop of the run had no answer; the time until
  // the new life had answered the stop was billed.
  [
    'a new life of a worker is not billed for the former one',
    1,
    [
      ['submitApart', 0, 3, 100],
      ['ordersLate', 0, 0, 100],
      ['rebirth', 32, 0, 100],
      ['crashWorker', 313, 1, 100],
      ['cancel', 0, 0, 100],
    ],
  ],
];

// Guards against the return of faults that the fuzzer found.
test.each(regressions)('%s', (_name, seed, rows) => {
  const actions = rows.map(([kind, afterMs, target, durationMs]) => ({
    kind,
    afterMs,
    target,
    durationMs,
  }));
  expect(runScenario(seed, actions)).toEqual([]);
});
