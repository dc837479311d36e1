import { readFlags } from '../../standins/shared/readFlags.js';
import { startTaskWorker } from '../../standins/task-worker/startTaskWorker.js';

/** Starts many stand-in workers in one process, on successive ports. */
export const startWorkers = (argv: string[]): void => {
  const { firstPort, count } = readFlags('workers', argv, { firstPort: 0, count: 1 });
  Array.from({ length: count }, (_, index) =>
    startTaskWorker([
      ...argv.slice(0, 2),
      ...['--port', String(firstPort + index)],
      ...['--id', `w${index}`],
      ...['--born', '1'],
    ]),
  );
};
