import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import { startProcess } from '../cluster/startProcess.js';
import type { SoakWorker } from './SoakWorker.js';

/** Starts a new incarnation of a worker. */
export const startWorker = ({
  id,
  port,
  incarnation,
}: Pick<SoakWorker, 'id' | 'port' | 'incarnation'>): ManagedProcess =>
  startProcess(id, 'dist/standins/task-worker/main.js', [
    ...['--port', String(port)],
    ...['--id', id],
    ...['--born', String(incarnation)],
  ]);
