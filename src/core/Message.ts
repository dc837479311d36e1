import type { CommandMessage } from './commands/CommandMessage.js';
import type { CommandResultMessage } from './commands/CommandResultMessage.js';
import type { GoodbyeMessage } from './membership/GoodbyeMessage.js';
import type { HeartbeatMessage } from './membership/HeartbeatMessage.js';
import type { JobsQueryMessage } from './recovery/JobsQueryMessage.js';
import type { JobsRecoveredMessage } from './recovery/JobsRecoveredMessage.js';
import type { CancelGrantMessage } from './routing/CancelGrantMessage.js';
import type { GrantMessage } from './routing/GrantMessage.js';
import type { GrantRequestMessage } from './routing/GrantRequestMessage.js';
import type { RefuseGrantMessage } from './routing/RefuseGrantMessage.js';
import type { ReleaseGrantMessage } from './routing/ReleaseGrantMessage.js';
import type { ReplicateAckMessage } from './routing/ReplicateAckMessage.js';
import type { ReplicateMessage } from './routing/ReplicateMessage.js';
import type { SettingsQueryMessage } from './settings/SettingsQueryMessage.js';
import type { SettingsTreeMessage } from './settings/SettingsTreeMessage.js';
import type { UsageCopyMessage } from './usage/UsageCopyMessage.js';
import type { UsageDurableMessage } from './usage/UsageDurableMessage.js';
import type { UsageRecordsMessage } from './usage/UsageRecordsMessage.js';
import type { UsageReplicaAckMessage } from './usage/UsageReplicaAckMessage.js';
import type { UsageReplicaMessage } from './usage/UsageReplicaMessage.js';
import type { UsageStoredMessage } from './usage/UsageStoredMessage.js';

/** A message from one daemon to another. */
export type Message =
  | HeartbeatMessage
  | GoodbyeMessage
  | GrantRequestMessage
  | GrantMessage
  | RefuseGrantMessage
  | ReleaseGrantMessage
  | CancelGrantMessage
  | ReplicateMessage
  | ReplicateAckMessage
  | JobsQueryMessage
  | JobsRecoveredMessage
  | CommandMessage
  | CommandResultMessage
  | SettingsTreeMessage
  | SettingsQueryMessage
  | UsageCopyMessage
  | UsageRecordsMessage
  | UsageStoredMessage
  | UsageReplicaMessage
  | UsageReplicaAckMessage
  | UsageDurableMessage;
