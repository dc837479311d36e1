import type { CallerEvent } from './callers/CallerEvent.js';
import type { NodeSettings } from './settings/NodeSettings.js';
import type { StreamEvent } from './streams/StreamEvent.js';
import type { WorkerEvent } from './workers/WorkerEvent.js';

/** An input of `reduce`. */
export type Event = (
  | CallerEvent
  | StreamEvent
  | WorkerEvent
  | { type: 'started' }
  | { type: 'tick' }
  | { type: 'settingsChanged'; settings: NodeSettings }
  | { type: 'shutdownRequested' }
) & {
  /** Monotonic milliseconds at which the event was taken from the queue, not when it arrived. */
  at: number;
  /** Epoch milliseconds at the same moment; used for records and due times, never for leases. */
  wall: number;
};
