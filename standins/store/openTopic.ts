import type { StoreState } from './StoreState.js';
import type { TopicState } from './TopicState.js';

/** Finds a topic, or creates it on first use. */
export const openTopic = (state: StoreState, name: string): TopicState => {
  const existing = state.topics.get(name);
  if (existing) return existing;
  const topic: TopicState = { records: [], producers: new Map() };
  state.topics.set(name, topic);
  return topic;
};
