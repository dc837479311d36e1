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
    'end of a task while no scheduler of its zone lives',
    'record',
    249_142,
    'ran without taskEnded',
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
];

test.each(red)('known red: %s', (_name, promise, seed, fault, commands) => {
  expect(runScenario(profiles[promise], seed, commands).fault).toContain(fault);
});

test('known red: promise record', () => {
  const found = findFault('record', { seed: 21, runs: 100, shrink: false });
  expect(found?.fault).toContain('ran without taskEnded');
}, 60_000);
