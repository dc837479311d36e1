import type { PublishedConfig } from './PublishedConfig.js';
import type { Queue } from './Queue.js';

/** Finds the queue with the longest path prefix that matches the host and path. */
export const findQueue = (config: PublishedConfig, host: string, path: string): Queue | undefined =>
  config.queues.find((queue) => queue.host === host && path.startsWith(queue.pathPrefix));
