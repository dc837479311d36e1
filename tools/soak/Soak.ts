import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import type { FaultSpan } from './FaultSpan.js';
import type { JobMix } from './JobMix.js';
import type { LoadSample } from './LoadSample.js';
import type { SubmittedJob } from './SubmittedJob.js';
import type { SoakNode } from './SoakNode.js';
import type { SoakWorker } from './SoakWorker.js';

/** A running soak test: the real programs as separate processes on loopback. */
export interface Soak {
  /** Temporary folder of the settings files. */
  folder: string;
  /** Seeded generator of uniform numbers in [0, 1). */
  random: () => number;
  /** `faultInProgress` is set around an outage in which entries lapse. */
  store: { port: number; process: ManagedProcess; faultInProgress: boolean };
  nodes: SoakNode[];
  workers: SoakWorker[];
  /** Timers that send the heartbeats of workers and sample the load of the machine. */
  timers: NodeJS.Timeout[];
  loadSamples: LoadSample[];
  jobMix: JobMix;
  /** Submitted jobs by ID. */
  jobs: Map<string, SubmittedJob>;
  /** Faults that were injected, with their time spans. */
  faults: FaultSpan[];
  /** One promise for each injected fault, which resolves when the fault is over. */
  pendingFaults: Promise<void>[];
}
