import type { CommandHandlerTable } from '../commands/CommandHandlerTable.js';
import { cancelJob } from './cancelJob.js';
import { listJobs } from './listJobs.js';
import { showJob } from './showJob.js';
import { submitJob } from './submitJob.js';

/** Handlers of the job commands; these are sent to schedulers. */
export const jobsCommandHandlers: CommandHandlerTable = { submitJob, cancelJob, showJob, listJobs };
