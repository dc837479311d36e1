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
  /** Handling an event or running an effect of this type failed unexpectedly. */
  | { type: 'handlerFailed'; failedType: string }
) & {
  /** Monotonic milliseconds at which the event was taken from the queue, not when it arrived. */
  at: number;
  /** Epoch milliseconds at the same moment; used for records and due times, never for leases. */
  wall: number;
  /**
   * Milliseconds for which this process was responsive. It stands still during a long turn or a pause,
   * when answers may lie unread; used to judge the silence of others, never for leases.
   */
  responsiveAt: number;
};
