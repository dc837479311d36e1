import type { LogState } from './LogState.js';
import type { StreamState } from './StreamState.js';

/** Finds a stream, or creates it on its first use, and removes its expired records. */
export const openStream = (state: LogState, name: string, at: number): StreamState => {
  const stream = state.streams.get(name) ?? { nextOffset: 0, entries: [] };
  state.streams.set(name, stream);
  const oldest = stream.entries[0];
  if (oldest && oldest.at < at - state.retentionMs) {
    const firstKept = stream.entries.findIndex((entry) => entry.at >= at - state.retentionMs);
    stream.entries = firstKept === -1 ? [] : stream.entries.slice(firstKept);
  }
  return stream;
};
