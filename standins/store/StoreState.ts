import type { EntryHeartbeat } from './EntryHeartbeat.js';
import type { StoreFaults } from './StoreFaults.js';
import type { StorePoll } from './StorePoll.js';
import type { TopicState } from './TopicState.js';

/** State of the store. */
export interface StoreState {
  topics: Map<string, TopicState>;
  polls: StorePoll[];
  /** Last heartbeats of registered workers by key; entries of other writers have none and stay. */
  heartbeats: Map<string, EntryHeartbeat>;
  faults: StoreFaults;
  /** State of the seeded random generator that chooses lost answers. */
  randomState: number;
}
