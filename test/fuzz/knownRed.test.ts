import { expect, test } from '@jest/globals';
import type { FuzzCommand } from './commands/FuzzCommand.js';
import { profiles } from './profiles.js';
import type { PromiseName } from './PromiseName.js';
import { runScenario } from './runScenario.js';

// Faults that KNOWN-RED.txt lists. Each test passes while its fault exists; once it is mended, the
// scenario moves to foundFaults.test.ts.
const red: [string, PromiseName, number, string, FuzzCommand[]][] = [
  [
    'start that no copy knows',
    'record',
    404_885,
    'ran without taskStarted and taskEnded',
    [
      { type: 'submitJob', gateway: 0, tasks: 3, runMs: 60_000, preemptible: false },
      { type: 'advance', ms: 40 },
      { type: 'kill', node: 1, forMs: 300 },
      { type: 'workerRestarts', worker: 0, forMs: 300 },
    ],
  ],
];

test.each(red)('known red: %s', (_name, promise, seed, fault, commands) => {
  expect(runScenario(profiles[promise], seed, commands).fault).toContain(fault);
});
