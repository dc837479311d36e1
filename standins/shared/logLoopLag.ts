import { readClock } from './readClock.js';

const checkIntervalMs = 250;
const minLagMs = 250;
const microsecondsPerMs = 1000;

/**
 * Prints a line when the event loop of this process stood still. The processor time used meanwhile tells a process that
 * was busy itself from one that got no processor.
 */
export const logLoopLag = (program: string): NodeJS.Timeout => {
  let dueAt = readClock().at + checkIntervalMs;
  let usage = process.cpuUsage();
  const checkLag = (): void => {
    const { at, wall } = readClock();
    const lagMs = Math.round(at - dueAt);
    const { user, system } = process.cpuUsage(usage);
    if (lagMs >= minLagMs) {
      const cpuMs = Math.round((user + system) / microsecondsPerMs);
      const time = new Date(wall).toISOString();
      process.stdout.write(
        `${JSON.stringify({ time, program, code: 'loop_lag', lagMs, cpuMs })}\n`,
      );
    }
    dueAt = at + checkIntervalMs;
    usage = process.cpuUsage();
  };
  return setInterval(checkLag, checkIntervalMs).unref();
};
