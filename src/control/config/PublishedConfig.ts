import type { Queue } from './Queue.js';
import type { Workspace } from './Workspace.js';

/** A configuration published by operators. */
export interface PublishedConfig {
  /** A configuration takes effect only if its version is higher than the current one. */
  version: number;
  queues: Queue[];
  workspaces: Workspace[];
}
