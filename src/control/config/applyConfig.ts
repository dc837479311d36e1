import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { PublishedConfig } from './PublishedConfig.js';

/** Applies a newer configuration; older versions are ignored, so that it is never reverted. */
export const applyConfig = (state: State, config: PublishedConfig): Effect[] => {
  if (state.config && config.version <= state.config.version) return [];
  const previous = state.config?.version ?? null;
  // Longest prefix first, so that the first match is the most specific one.
  const queues = [...config.queues].sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  state.config = { ...config, queues };
  const fields = { version: config.version, previous, queues: queues.length };
  return [{ type: 'log', level: 'info', code: 'config_applied', fields }];
};
