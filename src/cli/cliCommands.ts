import type { CliCommand } from './CliCommand.js';
import { explainJobCommand } from './explain/explainJobCommand.js';
import { invoiceCommand } from './invoice/invoiceCommand.js';
import { jobsCancelCommand } from './jobs/jobsCancelCommand.js';
import { jobsListCommand } from './jobs/jobsListCommand.js';
import { jobsShowCommand } from './jobs/jobsShowCommand.js';
import { jobsSubmitCommand } from './jobs/jobsSubmitCommand.js';
import { jobsWatchCommand } from './jobs/jobsWatchCommand.js';
import { requestCommand } from './request/requestCommand.js';
import { settingsCheckCommand } from './settings/settingsCheckCommand.js';
import { settingsHistoryCommand } from './settings/settingsHistoryCommand.js';
import { settingsProposeCommand } from './settings/settingsProposeCommand.js';
import { settingsShowCommand } from './settings/settingsShowCommand.js';
import { statusCommand } from './status/statusCommand.js';
import { usageCommand } from './usage/usageCommand.js';
import { workspacesCommand } from './workspaces/workspacesCommand.js';

/** All commands of `siskin`, in the order in which the help text lists them. */
export const cliCommands: readonly CliCommand[] = [
  settingsCheckCommand,
  settingsShowCommand,
  settingsProposeCommand,
  settingsHistoryCommand,
  workspacesCommand,
  jobsSubmitCommand,
  jobsListCommand,
  jobsShowCommand,
  jobsCancelCommand,
  jobsWatchCommand,
  explainJobCommand,
  requestCommand,
  statusCommand,
  usageCommand,
  invoiceCommand,
];
