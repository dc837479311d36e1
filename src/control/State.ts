import type { TimingBounds } from './TimingBounds.js';
import type { CallersState } from './callers/CallersState.js';
import type { PublishedConfig } from './config/PublishedConfig.js';
import type { Job } from './jobs/Job.js';
import type { Election } from './lead/Election.js';
import type { LeaderView } from './lead/LeaderView.js';
import type { Term } from './lead/Term.js';
import type { Self } from './Self.js';
import type { Cursor } from './streams/Cursor.js';
import type { StreamName } from './streams/StreamName.js';

/** State of one daemon; owned by its loop and updated in place by `reduce` only. */
export interface State {
  self: Self;
  bounds: TimingBounds;
  /** Last number given to a call of the store. */
  lastCallId: number;
  config: PublishedConfig | null;
  streams: Record<StreamName, Cursor>;
  jobs: Map<string, Job>;
  callers: CallersState;
  leader: LeaderView;
  election: Election;
  /** What this VM knows while it leads. */
  term: Term | null;
  /** Monotonic time of the shutdown request, or null. */
  shutdownAt: number | null;
}
