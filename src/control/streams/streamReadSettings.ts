import type { StreamName } from './StreamName.js';

interface StreamSettings {
  /** How long a read at the end of the stream waits for a record. */
  waitMs: number;
  /** Delay between an answer and the next read. */
  readDelayMs: number;
  /** The same delay for the leader, which has to act on what it reads. */
  leaderReadDelayMs: number;
}

/** Timing of the reads that follow each stream. */
export const streamReadSettings: Record<StreamName, StreamSettings> = {
  // A dead connection must be detected well before the time by which a new configuration must apply.
  config: { waitMs: 800, readDelayMs: 0, leaderReadDelayMs: 0 },
  // The leader's heartbeats are more frequent than the wait, so an unanswered read is a fault. The delay
  // batches several records into one read; callers see job states later by half of it on average.
  journal: { waitMs: 700, readDelayMs: 150, leaderReadDelayMs: 0 },
  runs: { waitMs: 0, readDelayMs: 0, leaderReadDelayMs: 0 },
  claims: { waitMs: 0, readDelayMs: 0, leaderReadDelayMs: 0 },
  // Workers write continuously; the delay batches several records into one read.
  workers: { waitMs: 700, readDelayMs: 250, leaderReadDelayMs: 250 },
};
