import type { StreamName } from './StreamName.js';

interface StreamSettings {
  /** How long a read at the end waits for a record. */
  waitMs: number;
  /** Shortest time between two answers and the next read. */
  pauseMs: number;
}

/** How each stream is followed. */
export const streamSettings: Record<StreamName, StreamSettings> = {
  // A silent connection has to be noticed well before a configuration must be in force.
  config: { waitMs: 800, pauseMs: 0 },
  // The lead writes more often than this, so that a read without an answer is a fault.
  journal: { waitMs: 700, pauseMs: 0 },
  claims: { waitMs: 0, pauseMs: 0 },
  // Workers write all the time; the pause reads several records with one call.
  workers: { waitMs: 700, pauseMs: 250 },
};
