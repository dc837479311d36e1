import { expect, test } from '@jest/globals';
import type { FuzzCommand } from './commands/FuzzCommand.js';
import { findFault } from './findFault.js';
import { profiles } from './profiles.js';
import type { PromiseName } from './PromiseName.js';
import { runScenario } from './runScenario.js';

// Faults that KNOWN-RED.txt lists. Each test passes while its fault exists; once it is mended, the
// scenario moves to foundFaults.test.ts.
const red: [string, PromiseName, number, string, FuzzCommand[]][] = [
  [
    'late prepare makes a restarted part look alive',
    'gang',
    5,
    'ran without the rest',
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
    'ran without the rest',
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
    'ran without taskStarted',
    [
      { type: 'submitJob', gateway: 0, tasks: 1, runMs: 60_000, preemptible: false },
      { type: 'kill', node: 2, forMs: 5500 },
      { type: 'advance', ms: 3100 },
      { type: 'kill', node: 1, forMs: 300 },
      { type: 'logOutage', forMs: 300 },
    ],
  ],
];

test.each(red)('known red: %s', (_name, promise, seed, fault, commands) => {
  expect(runScenario(profiles[promise], seed, commands).fault).toContain(fault);
});

test('known red: promise record', () => {
  const found = findFault('record', { seed: 2026, runs: 60 });
  expect(found?.fault).toContain('ran without taskStarted');
}, 60_000);
