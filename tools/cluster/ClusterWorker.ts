import type { ManagedProcess } from './ManagedProcess.js';

/** One stand-in worker. */
export interface OfficeWorker {
  id: string;
  zone: string;
  rack: string;
  port: number;
  process: ManagedProcess;
}
