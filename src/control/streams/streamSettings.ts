import type { StreamName } from './StreamName.js';

interface StreamSettings {
  /** How long a read at the end waits for a record. */
  waitMs: number;
  /** Shortest time between two answers and the next read. */
  pauseMs: number;
  /** The same for the lead, which has to act on what it reads. */
  leadPauseMs: number;
}

/** How each stream is followed. */
export const streamSettings: Record<StreamName, StreamSettings> = {
  // A silent connection has to be noticed well before a configuration must be in force.
  config: { waitMs: 800, pauseMs: 0, leadPauseMs: 0 },
  // The lead writes more often than the wait, so that a read without an answer is a fault. The pause
  // reads several records with one call; callers see a job's state later by half of it.
  journal: { waitMs: 700, pauseMs: 150, leadPauseMs: 0 },
  runs: { waitMs: 0, pauseMs: 0, leadPauseMs: 0 },
  claims: { waitMs: 0, pauseMs: 0, leadPauseMs: 0 },
  // Workers write all the time; the pause reads several records with one call.
  workers: { waitMs: 700, pauseMs: 250, leadPauseMs: 250 },
};
