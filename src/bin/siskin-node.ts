#!/usr/bin/env node
import { cac } from 'cac';
import { formatSettingsError } from '../../platform/formatSettingsError.js';
import { loadSettings } from '../../platform/loadSettings.js';
import { startNode } from '../../platform/startNode.js';

const configErrorStatus = 6;

const program = cac('siskin-node');
program
  .command('', 'Start the daemon of this entry VM on the platform')
  .option('--metrics-port <port>', 'Port at which metrics are served', { default: 9464 })
  .action(({ metricsPort }: { metricsPort: number }) => {
    loadSettings(process.env).match(
      (settings) => startNode(settings, metricsPort),
      (error) => {
        process.stderr.write(`${formatSettingsError(error)}\n`);
        process.exit(configErrorStatus);
      },
    );
  });
program.help();
program.parse();
