import type { HandlerTable } from '../HandlerTable.js';
import { handleProposalAppended } from './handleProposalAppended.js';
import { handleProposalAppendFailed } from './handleProposalAppendFailed.js';
import { handleSettingsChanged } from './handleSettingsChanged.js';
import { handleLinkOpened } from './handleLinkOpened.js';
import { handleSettingsQuery } from './handleSettingsQuery.js';
import { handleSettingsRead } from './handleSettingsRead.js';
import { handleSettingsReadFailed } from './handleSettingsReadFailed.js';
import { handleSettingsTree } from './handleSettingsTree.js';
import { finishTreeAppend } from './finishTreeAppend.js';
import { handleTick } from './handleTick.js';

/** Handlers of the settings feature. */
export const settingsHandlers: HandlerTable = {
  tick: handleTick,
  linkOpened: handleLinkOpened,
  settingsTree: handleSettingsTree,
  settingsQuery: handleSettingsQuery,
  settingsChanged: handleSettingsChanged,
  logRead: handleSettingsRead,
  logReadFailed: handleSettingsReadFailed,
  logAppended: (state, event) => [
    ...finishTreeAppend(state, event),
    ...handleProposalAppended(state, event),
  ],
  logAppendFailed: (state, event) => [
    ...finishTreeAppend(state, event),
    ...handleProposalAppendFailed(state, event),
  ],
};
