import { openTopic } from './openTopic.js';
import { registryTopic } from './registryTopic.js';
import type { StoreState } from './StoreState.js';

/** Keeps a worker's registry entry alive; it is written if it changed or had expired. An empty one is removed. */
export const recordHeartbeat = (
  state: StoreState,
  key: string,
  value: Buffer,
  at: number,
): void => {
  const previous = state.heartbeats.get(key);
  if (value.length === 0) state.heartbeats.delete(key);
  else state.heartbeats.set(key, { value, receivedAt: at });
  const isUnchanged = previous ? previous.value.equals(value) : value.length === 0;
  if (!isUnchanged) openTopic(state, registryTopic).records.push({ key, value });
};
