import type { Resources } from '../Resources.js';

/** A worker's entry in the registry. */
export interface WorkerEntry {
  /** Service whose jobs it runs. */
  service: string;
  /** IP address and port. */
  address: string;
  zone: string;
  state: 'ready' | 'draining';
  capacity: Resources;
  /** Properties that steps can require, among them the name of its rack. */
  labels: string[];
  /** Epoch milliseconds at which the worker's process started; identifies the incarnation. */
  incarnation: number;
}
