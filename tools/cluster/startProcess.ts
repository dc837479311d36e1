import { spawn } from 'node:child_process';
import type { ManagedProcess } from './ManagedProcess.js';

const maxLines = 50_000;

/** Starts a script with Node.js and collects the latest lines of its output. */
export const startProcess = (
  name: string,
  script: string,
  args: string[],
  env: Record<string, string> = {},
): ManagedProcess => {
  const child = spawn(process.execPath, [script, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...env },
  });
  const lines: string[] = [];
  const collectLines = (chunk: Buffer): void => {
    lines.push(...chunk.toString().split('\n').filter(Boolean));
    if (lines.length > maxLines) lines.splice(0, lines.length - maxLines);
  };
  child.stdout.on('data', collectLines);
  child.stderr.on('data', collectLines);
  const exited = new Promise<number | string>((resolve) => {
    child.on('exit', (code, signal) => resolve(code ?? signal ?? 'unknown'));
  });
  return {
    name,
    pid: child.pid ?? 0,
    exited,
    lines,
    signal: (signal) => child.kill(signal),
  };
};
