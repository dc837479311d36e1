import type { StoreFaults } from './StoreFaults.js';
import type { StorePoll } from './StorePoll.js';
import type { TopicState } from './TopicState.js';

/** State of the store. */
export interface StoreState {
  topics: Map<string, TopicState>;
  polls: StorePoll[];
  faults: StoreFaults;
  /** Seeded number that decides which answers are lost. */
  randomState: number;
}
