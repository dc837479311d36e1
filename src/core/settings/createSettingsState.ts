import { createSettingsProjection } from './createSettingsProjection.js';
import type { SettingsState } from './SettingsState.js';

/** Creates the settings state of a daemon without settings. */
export const createSettingsState = (): SettingsState => ({
  inForce: null,
  teamByWorkspace: new Map(),
  teamByTokenHash: new Map(),
  projection: createSettingsProjection(),
  tail: {
    nextOffset: 0,
    readId: null,
    readSentAt: 0,
    nextReadAt: 0,
    nextReadNumber: 1,
    hasGap: false,
    lastTreeRecord: null,
  },
  pendingProposals: new Map(),
  nextAppendNumber: 1,
  treeRecordWall: null,
  treeAppendId: null,
  nextTreeAppendAt: 0,
});
