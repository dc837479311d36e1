import type { CommandHandlerTable } from '../commands/CommandHandlerTable.js';
import { handleListProposals } from './handleListProposals.js';
import { handleProposeSettings } from './handleProposeSettings.js';
import { handleShowSettings } from './handleShowSettings.js';

/** Commands about settings; a recorder answers them. */
export const settingsCommandHandlers: CommandHandlerTable = {
  showSettings: handleShowSettings,
  proposeSettings: handleProposeSettings,
  listProposals: handleListProposals,
};
