import type { HandlerTable } from '../HandlerTable.js';
import { handleCancelGrant } from './handleCancelGrant.js';
import { handleGoodbye } from './handleGoodbye.js';
import { handleGrantRequest } from './handleGrantRequest.js';
import { handleLeadChanged } from './handleLeadChanged.js';
import { handleLinkClosed } from './handleLinkClosed.js';
import { handleLinkOpened } from './handleLinkOpened.js';
import { handleReleaseGrant } from './handleReleaseGrant.js';
import { handleShutdownRequested } from './handleShutdownRequested.js';
import { handleTick } from './handleTick.js';
import { handleWorkerClaimed } from './handleWorkerClaimed.js';
import { handleWorkerRenewed } from './handleWorkerRenewed.js';

/** Handlers of the routing feature. */
export const routingHandlers: HandlerTable = {
  tick: handleTick,
  linkOpened: handleLinkOpened,
  linkClosed: handleLinkClosed,
  goodbye: handleGoodbye,
  grantRequest: handleGrantRequest,
  releaseGrant: handleReleaseGrant,
  cancelGrant: handleCancelGrant,
  workerClaimed: handleWorkerClaimed,
  workerRenewed: handleWorkerRenewed,
  leadChanged: handleLeadChanged,
  shutdownRequested: handleShutdownRequested,
};
