import type { CommandHandlerTable } from '../commands/CommandHandlerTable.js';
import { cancelJob } from './cancelJob.js';
import { listJobs } from './listJobs.js';
import { showJob } from './showJob.js';
import { submitJob } from './submitJob.js';

/** Commands about jobs; a scheduler answers them. */
export const jobsCommandHandlers: CommandHandlerTable = { submitJob, cancelJob, showJob, listJobs };
