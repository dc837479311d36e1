import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import { startProcess } from '../cluster/startProcess.js';
import type { SoakWorker } from './SoakWorker.js';

/** Starts a worker's process, for the first time or in a new life. */
export const startWorker = ({
  id,
  port,
  born,
}: Pick<SoakWorker, 'id' | 'port' | 'born'>): ManagedProcess =>
  startProcess(id, 'dist/standins/task-worker/main.js', [
    ...['--port', String(port)],
    ...['--id', id],
    ...['--born', String(born)],
  ]);
