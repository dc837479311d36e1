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
  // Seed 77, run 589. A start reached a restarted worker before its new registry entry was read. On
  // reading the entry, the leader gave up the run although it was in progress, and the task ran twice.
  [
    'a run started before its worker is registered again is kept',
    1,
    [
      ['submit', 1111, 0, 100],
      ['submit', 185, 0, 100],
      ['submit', 249, 0, 100],
      ['submit', 113, 0, 100],
      ['restartWorker', 1077, 0, 100],
      ['submit', 0, 0, 100],
      ['submit', 0, 0, 100],
      ['submit', 0, 0, 100],
      ['submit', 0, 0, 100],
      ['submit', 0, 0, 100],
    ],
  ],
  // Seed 87, run 41. A VM claimed leadership although it had learned of a new leader while it read the
  // claims. The store was unavailable during the second takeover, and the runs whose ends were listed
  // only afterwards were billed up to that time.
  [
    'no claim against a known leader and no billing of unobserved time',
    1,
    [
      ['killVm', 0, 11, 1237],
      ['submit', 87, 0, 100],
      ['submit', 588, 0, 100],
      ['submit', 625, 0, 100],
      ['submit', 0, 0, 100],
      ['refuseStoreCalls', 263, 0, 3931],
    ],
  ],
  // Seed 87, run 288. A suspended leader processed an answer three seconds late and billed up to then.
  [
    'time during which the leader is suspended is not billed',
    1,
    [
      ['suspendVm', 0, 5, 2844],
      ['refuseStoreCalls', 0, 0, 458],
      ['submit', 345, 0, 100],
      ['delayWorkerCalls', 496, 0, 100],
      ['submit', 803, 0, 100],
      ['submit', 438, 0, 100],
      ['restartWorker', 789, 9, 100],
      ['submit', 0, 0, 100],
    ],
  ],
  // Seed 94, run 185. A poll that acknowledged ends of a worker's previous incarnation waited at the new
  // one for its first ends and acknowledged those too. The worker dropped them, and the tasks ran again.
  [
    'an acknowledgement covers one worker incarnation only',
    1,
    [
      ['submitSteps', 0, 0, 100],
      ['suspendVm', 10, 2, 100],
      ['restartWorker', 335, 7, 100],
      ['submit', 0, 0, 100],
      ['submit', 0, 0, 100],
      ['submit', 0, 0, 100],
      ['submit', 0, 0, 100],
    ],
  ],
  // Seed 203, run 22. After a network partition a worker listed the end of a run that had been given up.
  // The long-running task was then started again beside its current run.
  [
    'a stale end of a long-running task is ignored',
    1,
    [
      ['submitLongRunning', 0, 0, 100],
      ['partitionWorker', 347, 1, 2989],
      ['submit', 0, 0, 135],
      ['submit', 0, 0, 100],
      ['submit', 0, 0, 100],
    ],
  ],
  // Seed 212, run 491. A suspended leader processed an old answer and polled again at once. The run had
  // ended in between, and the time of the suspension was billed.
  [
    'a stale answer does not confirm a run as still running',
    165_266,
    [
      ['submit', 0, 0, 3073],
      ['refuseStoreCalls', 753, 0, 3118],
      ['submit', 358, 0, 100],
      ['submit', 10, 0, 100],
      ['submit', 1191, 0, 100],
      ['suspendVm', 53, 0, 4019],
      ['submit', 13, 1, 100],
      ['submit', 2, 1, 100],
      ['submit', 804, 0, 100],
      ['submit', 0, 0, 100],
      ['submit', 0, 0, 100],
    ],
  ],
  // Seed 237, run 193. A worker restarted while the stop of one of its runs was unanswered. The run was
  // billed until the new incarnation answered the stop.
  [
    'a run is not billed beyond the restart of its worker',
    1,
    [
      ['submitSpread', 0, 3, 100],
      ['delayWorkerCalls', 0, 0, 100],
      ['restartWorker', 32, 0, 100],
      ['crashWorker', 313, 1, 100],
      ['cancel', 0, 0, 100],
    ],
  ],
  // Seed 9191, run 519. The store answered nothing while a VM shut down, and the process ended with a request
  // whose append had no answer yet: the caller got none either.
  [
    'a request is answered before its VM exits',
    1,
    [
      ['terminateVm', 0, 11, 100],
      ['submit', 317, 0, 100],
      ['submit', 187, 0, 100],
      ['submit', 236, 0, 100],
      ['submit', 812, 0, 100],
      ['cutZone', 501, 11, 100],
      ['submit', 422, 2, 100],
      ['submit', 0, 0, 100],
    ],
  ],
  // Seed 703, run 409. A draining worker couldn't write to the store, and no VM reached it at the removal of its
  // entry. The leader gave up its tasks as those of a worker that had left and started them elsewhere.
  [
    'tasks of a draining worker without an entry run once',
    275_748,
    [
      ['submitScheduled', 0, 0, 100],
      ['submitCheckpointing', 0, 0, 4782],
      ['drainThenCut', 884, 0, 4267],
    ],
  ],
];

// Guards against faults that the fuzzer found before; the rows are their minimised scenarios.
test.each(regressions)('%s', (_name, seed, rows) => {
  const actions = rows.map(([kind, afterMs, target, durationMs]) => ({
    kind,
    afterMs,
    target,
    durationMs,
  }));
  expect(runScenario(seed, actions)).toEqual([]);
});
