import type { SettingsFold } from './SettingsFold.js';

/** Creates the fold of an empty stream. */
export const createSettingsFold = (): SettingsFold => ({
  offset: -1,
  snapshot: { version: -1, subtreeVersions: {}, tree: { zones: {}, teams: {} } },
  verdicts: [],
});
