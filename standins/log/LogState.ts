import type { LogFaults } from './LogFaults.js';
import type { LogPoll } from './LogPoll.js';
import type { StreamState } from './StreamState.js';

/** State of the log service. */
export interface LogState {
  /** Time after which a record expires. */
  retentionMs: number;
  /** Limit over all streams; 0 for no limit. */
  appendsPerSecond: number;
  /** Tokens of the append rate limit, one for each append, as of `tokensUpdatedAt`. */
  tokens: number;
  tokensUpdatedAt: number;
  streams: Map<string, StreamState>;
  /** Long polls by request id. */
  polls: Map<string, LogPoll>;
  faults: LogFaults;
}
