import { expect, test } from '@jest/globals';
import type { FuzzCommand } from './commands/FuzzCommand.js';
import { profiles } from './profiles.js';
import type { PromiseName } from './PromiseName.js';
import { runScenario } from './runScenario.js';

// Shrunk scenarios that the fuzzer found, each named after the fault that broke the promise.
const scenarios: [string, PromiseName, number, FuzzCommand[]][] = [
  [
    'unsuccessful claim leaves its name at the worker',
    'holder',
    999_998,
    [
      { type: 'advance', ms: 5 },
      { type: 'killVm', vm: 0, forMs: 300 },
      { type: 'kill', node: 6, forMs: 1500 },
      { type: 'slowCalls', forMs: 5500 },
      { type: 'advance', ms: 5 },
    ],
  ],
  [
    'deadline passes after a sent attempt',
    'refusal',
    313_334,
    [
      {
        type: 'request',
        gateway: 1,
        idempotent: true,
        key: null,
        serviceMs: 6000,
        timeoutMs: 6000,
      },
      { type: 'advance', ms: 900 },
      { type: 'cutWorkers', vm: 3, workers: 241, forMs: 8000 },
      { type: 'kill', node: 0, forMs: 300 },
    ],
  ],
  [
    'late renewal and late release free a held worker',
    'holder',
    10,
    [
      { type: 'cutWorkers', vm: 0, workers: 15, forMs: 5500 },
      { type: 'advance', ms: 1600 },
      { type: 'terminate', node: 1 },
    ],
  ],
  [
    'copy lists a key as both claimed and freed',
    'once',
    52_823,
    [
      { type: 'cutWorkers', vm: 0, workers: 21, forMs: 14_000 },
      {
        type: 'request',
        gateway: 0,
        idempotent: false,
        key: 2,
        serviceMs: 1500,
        timeoutMs: 20_000,
      },
      { type: 'advance', ms: 7000 },
      { type: 'request', gateway: 0, idempotent: false, key: 2, serviceMs: 20, timeoutMs: 20_000 },
      { type: 'stop', node: 1, forMs: 5500 },
    ],
  ],
  [
    'restarted lead lacks the jobs that its peer knows',
    'record',
    249_142,
    [
      { type: 'submitJob', gateway: 0, tasks: 1, runMs: 15_000, preemptible: false },
      { type: 'advance', ms: 11_700 },
      { type: 'kill', node: 1, forMs: 300 },
      { type: 'logOutage', forMs: 300 },
    ],
  ],
  [
    'late prepare makes a part on a restarted worker look running',
    'gang',
    5,
    [
      { type: 'submitJob', gateway: 0, tasks: 3, runMs: 60_000, preemptible: false },
      { type: 'duplicateCalls', forMs: 300 },
      { type: 'cutVms', vm: 0, other: 1, forMs: 300 },
      { type: 'advance', ms: 900 },
      { type: 'workerRestarts', worker: 0, forMs: 300 },
      { type: 'killVm', vm: 0, forMs: 300 },
    ],
  ],
  [
    'silence and task lease together exceed the gang bound',
    'gang',
    188_428,
    [
      { type: 'submitJob', gateway: 0, tasks: 3, runMs: 60_000, preemptible: false },
      { type: 'advance', ms: 250 },
      { type: 'workerRestarts', worker: 0, forMs: 14_000 },
      { type: 'slowCalls', forMs: 5500 },
      { type: 'advance', ms: 6200 },
      { type: 'slowCalls', forMs: 3200 },
      { type: 'advance', ms: 5 },
    ],
  ],
  [
    'records are lost with a scheduler while its recorder is down',
    'record',
    249_142,
    [
      { type: 'submitJob', gateway: 0, tasks: 1, runMs: 60_000, preemptible: false },
      { type: 'kill', node: 2, forMs: 5500 },
      { type: 'advance', ms: 3100 },
      { type: 'kill', node: 1, forMs: 300 },
      { type: 'logOutage', forMs: 300 },
    ],
  ],
  [
    'task ends while no scheduler of its zone runs',
    'record',
    249_142,
    [
      { type: 'submitJob', gateway: 0, tasks: 1, runMs: 15_000, preemptible: false },
      { type: 'advance', ms: 7000 },
      { type: 'kill', node: 4, forMs: 5500 },
      { type: 'advance', ms: 1600 },
      { type: 'advance', ms: 3100 },
      { type: 'kill', node: 1, forMs: 300 },
      { type: 'logOutage', forMs: 300 },
    ],
  ],
  [
    'start is recorded only in the copy of the job',
    'record',
    404_885,
    [
      { type: 'submitJob', gateway: 0, tasks: 2, runMs: 60_000, preemptible: false },
      { type: 'advance', ms: 40 },
      { type: 'submitJob', gateway: 0, tasks: 1, runMs: 60_000, preemptible: false },
      { type: 'advance', ms: 40 },
      { type: 'kill', node: 1, forMs: 300 },
      { type: 'workerRestarts', worker: 0, forMs: 300 },
    ],
  ],
  [
    'start is recorded in no copy of the job',
    'record',
    404_885,
    [
      { type: 'submitJob', gateway: 0, tasks: 3, runMs: 60_000, preemptible: false },
      { type: 'advance', ms: 40 },
      { type: 'kill', node: 1, forMs: 300 },
      { type: 'workerRestarts', worker: 0, forMs: 300 },
    ],
  ],
];

// Guards against the return of faults that the fuzzer found.
test.each(scenarios)('fault does not return: %s', (_name, promise, seed, commands) => {
  expect(runScenario(profiles[promise], seed, commands).violation).toBeNull();
});
