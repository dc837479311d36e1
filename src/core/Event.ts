import type { TaskEvent } from './jobs/TaskEvent.js';
import type { LogEvent } from './log/LogEvent.js';
import type { MembershipEvent } from './membership/MembershipEvent.js';
import type { Message } from './Message.js';
import type { NodeId } from './NodeId.js';
import type { OwnershipEvent } from './ownership/OwnershipEvent.js';
import type { RequestEvent } from './requests/RequestEvent.js';
import type { SettingsEvent } from './settings/SettingsEvent.js';
import type { UsageEvent } from './usage/UsageEvent.js';

/** An input of `reduce`; a message from another daemon forms an event together with its sender. */
export type Event = (
  | MembershipEvent
  | OwnershipEvent
  | RequestEvent
  | TaskEvent
  | SettingsEvent
  | UsageEvent
  | LogEvent
  | (Message & { from: NodeId })
) & {
  /** Monotonic milliseconds when the event was taken from the queue, not when it arrived. */
  at: number;
  /** Epoch milliseconds at the same moment; used in records only, never for leases. */
  wall: number;
};
