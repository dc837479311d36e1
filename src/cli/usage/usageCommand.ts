import { err } from 'neverthrow';
import type { CliCommand } from '../CliCommand.js';
import { showAnswer } from '../http/showAnswer.js';
import { parsePeriod } from '../options/parsePeriod.js';

/** Shows what a workspace used in a period. */
export const usageCommand: CliCommand = {
  name: 'usage',
  args: '<workspace>',
  description: 'Show the recorded use of a workspace in a period',
  options: [
    { flags: '--from <time>', description: 'First moment, UTC date or time' },
    { flags: '--to <time>', description: 'First moment after the period, UTC date or time' },
  ],
  examples: ['labels --from 2030-01-01 --to 2030-02-01'],
  run: async (context) => {
    const query = parsePeriod(context);
    if (query.isErr()) return err(query.error);
    const workspace = encodeURIComponent(context.args[0] ?? '');
    const path = `/v1/workspaces/${workspace}/usage?${query.value}`;
    return showAnswer(context, { method: 'GET', path });
  },
};
