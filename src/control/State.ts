import type { TimingBounds } from './TimingBounds.js';
import type { CallersState } from './callers/CallersState.js';
import type { PublishedConfig } from './config/PublishedConfig.js';
import type { Job } from './jobs/Job.js';
import type { Election } from './lead/Election.js';
import type { LeaderView } from './lead/LeaderView.js';
import type { Term } from './lead/Term.js';
import type { Self } from './Self.js';
import type { Cursor } from './streams/Cursor.js';
import type { StoreLimits } from './settings/StoreLimits.js';
import type { StreamName } from './streams/StreamName.js';

/** State of one daemon; owned by its event loop and updated in place only by `reduce`. */
export interface State {
  self: Self;
  bounds: TimingBounds;
  storeLimits: StoreLimits;
  /** Last ID assigned to a read from or append to the store. */
  lastCallId: number;
  /** Newest configuration read, or null before the first. */
  config: PublishedConfig | null;
  /** Read position in each stream. */
  streams: Record<StreamName, Cursor>;
  /** Jobs read from the journal, by ID. */
  jobs: Map<string, Job>;
  callers: CallersState;
  leader: LeaderView;
  election: Election;
  /** Leader state, or null while this VM doesn't lead. */
  term: Term | null;
  /** Monotonic time of the shutdown request, or null. */
  shutdownAt: number | null;
}
