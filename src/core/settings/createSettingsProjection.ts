import type { SettingsProjection } from './SettingsProjection.js';

/** Creates the projection of an empty stream. */
export const createSettingsProjection = (): SettingsProjection => ({
  offset: -1,
  snapshot: { version: -1, subtreeVersions: {}, tree: { zones: {}, teams: {} } },
  verdicts: [],
});
