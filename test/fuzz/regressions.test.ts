import { expect, test } from '@jest/globals';
import type { FuzzCommand } from './commands/FuzzCommand.js';
import { profiles } from './profiles.js';
import type { PromiseName } from './PromiseName.js';
import { runScenario } from './runScenario.js';

// Scenarios that broke a promise, as the fuzzer shrank them.
const found: [string, PromiseName, number, FuzzCommand[]][] = [
  [
    'lost claim leaves its name at the worker',
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
    'copy frees the key that it claims',
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
    'restarted lead does not know the jobs of its peer',
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
    'late prepare makes a restarted part look alive',
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
    'silence and task lease together exceed the bound',
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
    'records of a scheduler that dies beside its recorder',
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
    'end of a task while no scheduler of its zone lives',
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
    'start that only the copy of the job knows',
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
    'start that no copy knows',
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
test.each(found)('found: %s', (_name, promise, seed, commands) => {
  expect(runScenario(profiles[promise], seed, commands).violation).toBeNull();
});
