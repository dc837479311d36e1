import type { Queue } from './Queue.js';
import type { Workspace } from './Workspace.js';

/** A configuration as operators publish it. */
export interface PublishedConfig {
  version: number;
  queues: Queue[];
  workspaces: Workspace[];
}
