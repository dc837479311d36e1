#!/usr/bin/env node
import { cac } from 'cac';
import { formatSettingsError } from '../../platform/formatSettingsError.js';
import { loadSettings } from '../../platform/loadSettings.js';
import type { PlatformSettings } from '../../platform/PlatformSettings.js';
import type { ReportName } from '../../platform/ReportName.js';
import { runReport } from '../../platform/runReport.js';
import { startNode } from '../../platform/startNode.js';

const configErrorExitCode = 6;

/** Calls `use` with the settings of this VM; exits if they are invalid. */
const withSettings = (use: (settings: PlatformSettings) => unknown): unknown =>
  loadSettings(process.env).match(use, (error) => {
    process.stderr.write(`${formatSettingsError(error)}\n`);
    process.exit(configErrorExitCode);
  });

const storeOption = [
  '--store <address>',
  'IP address and port of the store (default: from the settings file)',
] as const;

/** Prints a report from the given store, or else from the store in the settings of this VM. */
const printReport = (name: ReportName, store: string | undefined, argument: string): unknown =>
  store === undefined
    ? withSettings((settings) => runReport(name, settings.store, argument))
    : runReport(name, store, argument);

const program = cac('siskin-node');
program
  .command('', 'Start the daemon of this entry VM on the platform')
  .option('--metrics-port <port>', 'Port at which metrics are served', { default: 9464 })
  .action(({ metricsPort }: { metricsPort: number }) =>
    withSettings((settings) => startNode(settings, metricsPort)),
  );
program
  .command('check', 'Check the settings file and print the decoded settings')
  .action(() =>
    withSettings((settings) => process.stdout.write(`${JSON.stringify(settings, null, 2)}\n`)),
  );
program
  .command('status', 'Show the leader, the configuration, and counts of jobs and workers')
  .option(...storeOption)
  .action(({ store }: { store?: string }) => printReport('status', store, ''));
program
  .command('job <id>', 'Show a job: its state, steps, and where its tasks run')
  .option(...storeOption)
  .action((id: string, { store }: { store?: string }) => printReport('job', store, id));
program
  .command('invoice <period>', 'Show what workspaces used in a period, such as 2026-12')
  .option(...storeOption)
  .action((period: string, { store }: { store?: string }) => printReport('invoice', store, period));
program.help();
program.parse();
