import { runCli } from '../office/runCli.js';
import { check } from './check.js';
import type { DemoContext } from './DemoContext.js';

/** Submits a job with the command line and remembers its id under a name. */
export const submitJob = async (
  context: DemoContext,
  workspace: string,
  name: string,
  options: string[],
): Promise<void> => {
  const { office, httpPort } = context;
  const args = ['jobs', 'submit', workspace, ...options, '--key', name, '--json'];
  const run = await runCli(httpPort, office.rootToken, args);
  check(run.code === 0, `job ${name} is accepted (${run.stdout}${run.stderr})`);
  context.jobs[name] = (JSON.parse(run.stdout) as { id: string }).id;
};
