#!/usr/bin/env node
import os from 'node:os';
import { setTimeout as waitMs } from 'node:timers/promises';
import { exitCodes } from '../cli/exitCodes.js';
import { runCli } from '../cli/runCli.js';

try {
  process.exitCode = await runCli(process.argv.slice(2), {
    env: process.env,
    userName: process.env.USER ?? os.userInfo().username,
    writeStdout: (data) => process.stdout.write(data),
    writeStderr: (text) => process.stderr.write(text),
    wait: waitMs,
  });
} catch (error) {
  process.stderr.write(`internal error: ${(error as Error).stack ?? String(error)}\n`);
  process.exitCode = exitCodes['internal-error'].code;
}
