#!/usr/bin/env node
import { cac } from 'cac';
import { formatSettingsError } from '../../platform/formatSettingsError.js';
import { loadSettings } from '../../platform/loadSettings.js';
import { startNode } from '../../platform/startNode.js';

const configErrorStatus = 6;

const program = cac('siskin-node');
program.command('', 'Start the daemon of this entry VM on the platform').action(() => {
  loadSettings(process.env).match(startNode, (error) => {
    process.stderr.write(`${formatSettingsError(error)}\n`);
    process.exit(configErrorStatus);
  });
});
program.help();
program.parse();
