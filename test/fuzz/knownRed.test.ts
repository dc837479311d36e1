import { expect, test } from '@jest/globals';
import type { FuzzCommand } from './commands/FuzzCommand.js';
import { profiles } from './profiles.js';
import type { PromiseName } from './PromiseName.js';
import { runScenario } from './runScenario.js';

// Faults that KNOWN-RED.txt lists. Each test passes while its fault exists; once it is mended, the
// scenario moves to foundFaults.test.ts.
const red: [string, PromiseName, number, string, FuzzCommand[]][] = [
  [
    'late prepare makes a restarted part look alive',
    'gang',
    691_157,
    'ran without the rest',
    [
      { type: 'advance', ms: 3200 },
      { type: 'submitJob', gateway: 0, tasks: 3, runMs: 60_000, preemptible: false },
      { type: 'duplicateCalls', forMs: 300 },
      { type: 'advance', ms: 250 },
      { type: 'cutVms', vm: 0, other: 1, forMs: 8000 },
      { type: 'advance', ms: 900 },
      { type: 'workerRestarts', worker: 5, forMs: 300 },
      { type: 'killVm', vm: 0, forMs: 3200 },
      { type: 'advance', ms: 5 },
    ],
  ],
  [
    'restarted lead does not know the jobs of its peer',
    'record',
    249_142,
    'ran without taskEnded',
    [
      { type: 'submitJob', gateway: 0, tasks: 1, runMs: 15_000, preemptible: false },
      { type: 'advance', ms: 11_700 },
      { type: 'kill', node: 1, forMs: 300 },
      { type: 'logOutage', forMs: 300 },
    ],
  ],
];

test.each(red)('known red: %s', (_name, promise, seed, fault, commands) => {
  expect(runScenario(profiles[promise], seed, commands).fault).toContain(fault);
});
