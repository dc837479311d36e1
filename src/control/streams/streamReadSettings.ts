import type { StreamName } from './StreamName.js';

interface StreamSettings {
  /** How long a read at the end waits for a record. */
  waitMs: number;
  /** Shortest time between two answers and the next read. */
  readDelayMs: number;
  /** The same for the lead, which has to act on what it reads. */
  leaderReadDelayMs: number;
}

/** How each stream is followed. */
export const streamReadSettings: Record<StreamName, StreamSettings> = {
  // A silent connection has to be noticed well before a configuration must be in force.
  config: { waitMs: 800, readDelayMs: 0, leaderReadDelayMs: 0 },
  // The lead writes more often than the wait, so that a read without an answer is a fault. The pause
  // reads several records with one call; callers see a job's state later by half of it.
  journal: { waitMs: 700, readDelayMs: 150, leaderReadDelayMs: 0 },
  runs: { waitMs: 0, readDelayMs: 0, leaderReadDelayMs: 0 },
  claims: { waitMs: 0, readDelayMs: 0, leaderReadDelayMs: 0 },
  // Workers write all the time; the pause reads several records with one call.
  workers: { waitMs: 700, readDelayMs: 250, leaderReadDelayMs: 250 },
};
