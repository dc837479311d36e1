import type { HandlerTable } from '../HandlerTable.js';
import { handleProposalAppended } from './handleProposalAppended.js';
import { handleProposalAppendFailed } from './handleProposalAppendFailed.js';
import { handleSettingsChanged } from './handleSettingsChanged.js';
import { handleSettingsLink } from './handleSettingsLink.js';
import { handleSettingsQuery } from './handleSettingsQuery.js';
import { handleSettingsRead } from './handleSettingsRead.js';
import { handleSettingsReadFailed } from './handleSettingsReadFailed.js';
import { handleSettingsTree } from './handleSettingsTree.js';
import { handleTreeAppended } from './handleTreeAppended.js';
import { tickSettings } from './tickSettings.js';

/** Handlers of the settings feature. */
export const settingsHandlers: HandlerTable = {
  tick: tickSettings,
  linkOpened: handleSettingsLink,
  settingsTree: handleSettingsTree,
  settingsQuery: handleSettingsQuery,
  settingsChanged: handleSettingsChanged,
  logRead: handleSettingsRead,
  logReadFailed: handleSettingsReadFailed,
  logAppended: (state, event) => [
    ...handleTreeAppended(state, event),
    ...handleProposalAppended(state, event),
  ],
  logAppendFailed: (state, event) => [
    ...handleTreeAppended(state, event),
    ...handleProposalAppendFailed(state, event),
  ],
};
