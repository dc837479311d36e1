import { readClock } from '../../standins/shared/readClock.js';
import type { FaultSpan } from './FaultSpan.js';
import type { Soak } from './Soak.js';

/** Injects a fault and records its time span. */
export const recordFault = async (
  soak: Soak,
  fault: Pick<FaultSpan, 'kind' | 'scope' | 'targetId'>,
  inject: () => Promise<void>,
): Promise<void> => {
  const span: FaultSpan = { ...fault, startedAt: readClock().at, endedAt: null };
  soak.faults.push(span);
  await inject();
  span.endedAt = readClock().at;
};
