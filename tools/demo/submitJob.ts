import { runCli } from '../cluster/runCli.js';
import { assertCondition } from './assertCondition.js';
import type { DemoContext } from './DemoContext.js';

/** Submits a job with `siskin` and stores its id under a name. */
export const submitJob = async (
  context: DemoContext,
  workspace: string,
  name: string,
  options: string[],
): Promise<void> => {
  const { cluster, httpPort } = context;
  const args = ['jobs', 'submit', workspace, ...options, '--key', name, '--json'];
  const run = await runCli(httpPort, cluster.rootToken, args);
  assertCondition(run.code === 0, `job ${name} is accepted (${run.stdout}${run.stderr})`);
  context.jobs[name] = (JSON.parse(run.stdout) as { id: string }).id;
};
