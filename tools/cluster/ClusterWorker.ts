import type { ManagedProcess } from './ManagedProcess.js';

/** A stand-in worker. */
export interface ClusterWorker {
  id: string;
  zone: string;
  rack: string;
  port: number;
  process: ManagedProcess;
}
