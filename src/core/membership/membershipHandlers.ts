import type { HandlerTable } from '../HandlerTable.js';
import { handleHeartbeat } from './handleHeartbeat.js';
import { handleLinkClosed } from './handleLinkClosed.js';
import { handleLinkOpened } from './handleLinkOpened.js';
import { handleShutdownRequested } from './handleShutdownRequested.js';
import { handleTick } from './handleTick.js';
import { handleVmsListed } from './handleVmsListed.js';

/** Event handlers of the membership feature. */
export const membershipHandlers: HandlerTable = {
  tick: handleTick,
  linkOpened: handleLinkOpened,
  linkClosed: handleLinkClosed,
  heartbeat: handleHeartbeat,
  vmsListed: handleVmsListed,
  shutdownRequested: handleShutdownRequested,
};
