import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { countUnacknowledged } from './countUnacknowledged.js';

const gaugeEveryMs = 1000;

/** Reports the gauge of unacknowledged records at intervals. */
export const measureUsage = ({ usage }: State, at: number): Effect[] => {
  if (at < usage.nextGaugeAt) return [];
  usage.nextGaugeAt = at + gaugeEveryMs;
  return [{ type: 'gauge', name: 'unacknowledged_records', value: countUnacknowledged(usage) }];
};
