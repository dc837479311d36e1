import type { CommandHandlerTable } from '../commands/CommandHandlerTable.js';
import { handleListProposals } from './handleListProposals.js';
import { handleProposeSettings } from './handleProposeSettings.js';
import { handleShowSettings } from './handleShowSettings.js';

/** Handlers of the commands on settings, which a recorder answers. */
export const settingsCommandHandlers: CommandHandlerTable = {
  showSettings: handleShowSettings,
  proposeSettings: handleProposeSettings,
  listProposals: handleListProposals,
};
