import type { Resources } from '../Resources.js';

/** What a worker says about itself in the registry. */
export interface WorkerEntry {
  service: string;
  /** IP address and port. */
  address: string;
  zone: string;
  state: 'ready' | 'draining';
  capacity: Resources;
  labels: string[];
  /** Epoch milliseconds of the start of this life of the worker. */
  incarnation: number;
}
