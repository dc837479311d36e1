import type { HandlerTable } from '../HandlerTable.js';
import { handleLeaseAnswered } from './handleLeaseAnswered.js';
import { handleLeaseFailed } from './handleLeaseFailed.js';
import { handleSettingsChanged } from './handleSettingsChanged.js';
import { handleShutdownRequested } from './handleShutdownRequested.js';
import { handleTick } from './handleTick.js';

/** Handlers of the ownership feature. */
export const ownershipHandlers: HandlerTable = {
  tick: handleTick,
  settingsChanged: handleSettingsChanged,
  leaseAnswered: handleLeaseAnswered,
  leaseFailed: handleLeaseFailed,
  shutdownRequested: handleShutdownRequested,
};
