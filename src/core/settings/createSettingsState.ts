import { createSettingsFold } from './createSettingsFold.js';
import type { SettingsState } from './SettingsState.js';

/** Creates the settings state of a daemon that knows no tree. */
export const createSettingsState = (): SettingsState => ({
  inForce: null,
  teamByWorkspace: new Map(),
  teamByTokenHash: new Map(),
  fold: createSettingsFold(),
  tail: {
    from: 0,
    readId: null,
    sentAt: 0,
    nextReadAt: 0,
    nextRead: 1,
    gap: false,
    lastTree: null,
  },
  pending: new Map(),
  nextAppend: 1,
  treeWall: null,
  treeAppendId: null,
  nextTreeAt: 0,
});
