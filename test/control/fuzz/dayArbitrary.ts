import fc from 'fast-check';
import { calmKinds } from './calmKinds.js';
import type { FaultAction } from './FaultAction.js';
import { submissions } from './submissions.js';

const kinds: FaultAction['kind'][] = [
  ...calmKinds,
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

const createDays = (kind: fc.Arbitrary<FaultAction['kind']>): fc.Arbitrary<FaultAction[]> =>
  fc.array(
    fc.record({
      kind,
      afterMs: fc.integer({ min: 0, max: 1200 }),
      target: fc.integer({ min: 0, max: 11 }),
      lastsMs: fc.integer({ min: 100, max: 5000 }),
    }),
    { minLength: 5, maxLength: 30 },
  );

/** Random days: calm ones, and ones on which faults overlap; at least half of their steps bring work. */
export const dayArbitrary = {
  calm: createDays(fc.constantFrom(...calmKinds)),
  troubled: createDays(fc.oneof(fc.constantFrom(...submissions), fc.constantFrom(...kinds))),
};
