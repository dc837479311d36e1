import fs from 'node:fs';

// Ticks per second of the times in /proc; fixed by the kernel's interface.
const ticksPerSecond = 100;
// Positions of the user and system times, counted after the command name.
const userTimeIndex = 11;
const systemTimeIndex = 12;

/** Reads the CPU time that a process has used, in milliseconds. */
export const readProcessCpuMs = (pid: number): number => {
  const text = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The command name is in parentheses and may contain spaces.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[userTimeIndex]) + Number(fields[systemTimeIndex]);
  return (ticks / ticksPerSecond) * 1000;
};
