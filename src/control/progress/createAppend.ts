import type { Now } from '../Now.js';
import type { AppendUnit } from './AppendUnit.js';
import type { LeaderStream } from './LeaderStream.js';
import type { PendingAppend } from './PendingAppend.js';

/** Creates an append of the leader to a stream. */
export const createAppend = (
  stream: LeaderStream,
  units: AppendUnit[],
  now: Now,
): PendingAppend => ({
  stream,
  appendId: 0,
  units,
  sequence: 0,
  startsToSend: [],
  endsToAcknowledge: [],
  createdAt: now.at,
  createdResponsiveAt: now.responsiveAt,
  nextAttemptAt: now.at,
});
