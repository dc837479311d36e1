import type { CliCommand } from '../CliCommand.js';
import { describeJob } from './describeJob.js';
import { findJob } from './findJob.js';

/** Explains the state of a job in sentences. */
export const explainJobCommand: CliCommand = {
  name: 'explain job',
  args: '<id>',
  description: 'Explain what a job is doing and why',
  options: [{ flags: '--workspace <name>', description: 'Workspace (default: search all)' }],
  examples: ['k0123456789abcdef01234567', 'k0123456789abcdef01234567 --workspace labels'],
  run: async (context) =>
    (await findJob(context, context.args[0] ?? '')).map((job) => ({
      data: job,
      view: describeJob(job),
    })),
};
