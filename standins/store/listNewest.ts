import type { TopicState } from './TopicState.js';

const pageSize = 500;

/** Lists one page of the newest record of each key, ordered by key. */
export const listNewest = (topic: TopicState, afterKey: string): Record<string, unknown> => {
  const newest = new Map(topic.records.map(({ key }, offset) => [key, offset]));
  const keys = [...newest]
    .filter(([key, offset]) => key > afterKey && topic.records[offset]!.value.length > 0)
    .sort(([a], [b]) => (a < b ? -1 : 1));
  const items = keys.slice(0, pageSize).map(([key, offset]) => ({
    key,
    value: topic.records[offset]!.value.toString('base64'),
    offset,
  }));
  return { items, has_more: keys.length > pageSize, end_offset: topic.records.length };
};
