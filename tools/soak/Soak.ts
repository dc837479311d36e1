import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import type { SubmittedJob } from './SubmittedJob.js';
import type { SoakNode } from './SoakNode.js';
import type { SoakWorker } from './SoakWorker.js';

/** A running soak: real programs as separate processes on loopback. */
export interface Soak {
  folder: string;
  random: () => number;
  store: { port: number; process: ManagedProcess };
  nodes: SoakNode[];
  workers: SoakWorker[];
  jobs: Map<string, SubmittedJob>;
  /** Faults that were begun, for the report. */
  injectedFaults: string[];
  /** Waits until the end of each fault that was begun. */
  pendingFaults: Promise<void>[];
}
