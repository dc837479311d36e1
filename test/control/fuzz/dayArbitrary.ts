import fc from 'fast-check';
import type { FaultAction } from './FaultAction.js';

const submissions: FaultAction['kind'][] = [
  'submit',
  'submitGang',
  'submitSteps',
  'submitTimed',
  'submitSaving',
  'submitApart',
  'submitLabelled',
  'submitLasting',
];

const kinds: FaultAction['kind'][] = [
  ...submissions,
  'cancel',
  'changeConfig',
  'kill',
  'freeze',
  'terminate',
  'cutStore',
  'cutWorkers',
  'storeDown',
  'answersLost',
  'ordersLate',
  'crashWorker',
  'rebirth',
  'cutWorkerOff',
  'drainWorker',
  'failWorker',
];

/** Random days: jobs and faults that overlap. */
export const dayArbitrary: fc.Arbitrary<FaultAction[]> = fc.array(
  fc.record({
    // Half of the steps bring work.
    kind: fc.oneof(fc.constantFrom(...submissions), fc.constantFrom(...kinds)),
    afterMs: fc.integer({ min: 0, max: 1200 }),
    target: fc.integer({ min: 0, max: 11 }),
    lastsMs: fc.integer({ min: 100, max: 5000 }),
  }),
  { minLength: 5, maxLength: 30 },
);
