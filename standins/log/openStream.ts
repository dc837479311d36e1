import type { LogState } from './LogState.js';
import type { StreamState } from './StreamState.js';

/** Returns the stream, created if needed, without the records older than the retention. */
export const openStream = (state: LogState, name: string, at: number): StreamState => {
  const stream = state.streams.get(name) ?? { nextOffset: 0, entries: [] };
  state.streams.set(name, stream);
  const oldest = stream.entries[0];
  if (oldest && oldest.at < at - state.retentionMs) {
    const first = stream.entries.findIndex((entry) => entry.at >= at - state.retentionMs);
    stream.entries = first === -1 ? [] : stream.entries.slice(first);
  }
  return stream;
};
