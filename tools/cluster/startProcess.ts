import { spawn } from 'node:child_process';
import type { ManagedProcess } from './ManagedProcess.js';

const keptLines = 5000;

/** Starts a compiled program of this repository and keeps its output. */
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
  const note = (chunk: Buffer): void => {
    lines.push(...chunk.toString().split('\n').filter(Boolean));
    if (lines.length > keptLines) lines.splice(0, lines.length - keptLines);
  };
  child.stdout.on('data', note);
  child.stderr.on('data', note);
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
