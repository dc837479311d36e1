import type { LogFaults } from './LogFaults.js';
import type { LogPoll } from './LogPoll.js';
import type { StreamState } from './StreamState.js';

/** State of the log service. */
export interface LogState {
  retentionMs: number;
  /** Limit over all streams; 0 for none. */
  appendsPerSecond: number;
  /** Appends that may still be accepted, as of `tokensAt`. */
  tokens: number;
  tokensUpdatedAt: number;
  streams: Map<string, StreamState>;
  /** Waiting reads by request id. */
  polls: Map<string, LogPoll>;
  faults: LogFaults;
}
