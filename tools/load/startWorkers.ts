import { readFlags } from '../../standins/shared/readFlags.js';
import { startTaskWorker } from '../../standins/task-worker/startTaskWorker.js';

/** Starts many stand-in workers in one process, one on each of the given ports. */
export const startWorkers = (argv: string[]): void => {
  const { ports } = readFlags('workers', argv, { ports: '' });
  // A single port arrives as a number.
  String(ports)
    .split(',')
    .forEach((port, index) =>
      startTaskWorker([
        ...argv.slice(0, 2),
        ...['--port', port],
        ...['--id', `w${index}`],
        ...['--born', '1'],
      ]),
    );
};
