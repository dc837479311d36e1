import type { StoreFaults } from './StoreFaults.js';
import type { StorePoll } from './StorePoll.js';
import type { TopicState } from './TopicState.js';

/** State of the store. */
export interface StoreState {
  topics: Map<string, TopicState>;
  polls: StorePoll[];
  faults: StoreFaults;
  /** State of the seeded random generator that chooses lost answers. */
  randomState: number;
}
