import type { CliCommand } from '../CliCommand.js';
import { showAnswer } from '../http/showAnswer.js';

/** Shows the state of the system as one gateway and its scheduler see it. */
export const statusCommand: CliCommand = {
  name: 'status',
  args: '',
  description: 'Show the state of daemons, workers and guarantees',
  options: [],
  examples: ['', '--json', '--url http://10.0.0.7:8080'],
  run: (context) => showAnswer(context, { method: 'GET', path: '/v1/status' }),
};
