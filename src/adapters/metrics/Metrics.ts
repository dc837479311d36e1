import type { EffectRunners } from '../EffectRunners.js';

/** StatsD client of a daemon. */
export interface Metrics {
  runners: Required<Pick<EffectRunners, 'countRefusal' | 'countRetry' | 'count' | 'gauge'>>;
  /** Sends what is buffered and closes the socket. */
  close: () => void;
}
