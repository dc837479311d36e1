import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { countUnacknowledgedRecords } from './countUnacknowledgedRecords.js';

const gaugeIntervalMs = 1000;

/** Reports the gauge of unacknowledged records at intervals. */
export const reportUnacknowledgedRecords = ({ usage }: State, at: number): Effect[] => {
  if (at < usage.nextGaugeAt) return [];
  usage.nextGaugeAt = at + gaugeIntervalMs;
  return [
    { type: 'gauge', name: 'unacknowledged_records', value: countUnacknowledgedRecords(usage) },
  ];
};
