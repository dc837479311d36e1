import type { HandlerTable } from '../HandlerTable.js';
import { handleAttemptEnded } from './handleAttemptEnded.js';
import { handleAttemptFailed } from './handleAttemptFailed.js';
import { handleAttemptHeaders } from './handleAttemptHeaders.js';
import { handleAttemptSent } from './handleAttemptSent.js';
import { handleCallerGone } from './handleCallerGone.js';
import { handleCallerRequested } from './handleCallerRequested.js';
import { handleCommandRequested } from './handleCommandRequested.js';
import { handleCommandResult } from './handleCommandResult.js';
import { handleGrant } from './handleGrant.js';
import { handleLinkClosed } from './handleLinkClosed.js';
import { handleRefuseGrant } from './handleRefuseGrant.js';
import { handleSettingsChanged } from './handleSettingsChanged.js';
import { handleTick } from './handleTick.js';

/** Handlers of the requests feature. */
export const requestsHandlers: HandlerTable = {
  tick: handleTick,
  linkClosed: handleLinkClosed,
  settingsChanged: handleSettingsChanged,
  callerRequested: handleCallerRequested,
  callerGone: handleCallerGone,
  grant: handleGrant,
  refuseGrant: handleRefuseGrant,
  attemptSent: handleAttemptSent,
  attemptHeaders: handleAttemptHeaders,
  attemptEnded: handleAttemptEnded,
  attemptFailed: handleAttemptFailed,
  commandRequested: handleCommandRequested,
  commandResult: handleCommandResult,
};
