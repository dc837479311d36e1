import type { HandlerTable } from '../HandlerTable.js';
import { handleLeadChanged } from './handleLeadChanged.js';
import { handleLinkOpened } from './handleLinkOpened.js';
import { handleReplicate } from './handleReplicate.js';
import { handleReplicateAck } from './handleReplicateAck.js';
import { handleShutdownRequested } from './handleShutdownRequested.js';
import { handleTick } from './handleTick.js';

/** Event handlers of the replication feature. */
export const replicationHandlers: HandlerTable = {
  tick: handleTick,
  linkOpened: handleLinkOpened,
  leadChanged: handleLeadChanged,
  replicate: handleReplicate,
  replicateAck: handleReplicateAck,
  shutdownRequested: handleShutdownRequested,
};
