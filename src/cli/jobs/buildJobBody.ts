import { Result } from 'neverthrow';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';
import { parsePositiveIntegerOption } from '../options/parsePositiveIntegerOption.js';

/**
 * Builds the request body of a submission from the options. Checks only the numbers; the gateway
 * validates every field.
 */
export const buildJobBody = ({
  options,
  switches,
}: Pick<CliContext, 'options' | 'switches'>): Result<string, CliError> =>
  Result.combine([
    parsePositiveIntegerOption({ options }, 'tasks'),
    parsePositiveIntegerOption({ options }, 'accelerators'),
    parsePositiveIntegerOption({ options }, 'declared-ms'),
  ]).map(([tasks, acceleratorsPerTask, declaredMs]) =>
    JSON.stringify({
      tasks,
      acceleratorsPerTask,
      declaredMs,
      // Absent options are undefined; JSON.stringify omits them.
      adjacency: options.adjacency,
      zone: options.zone,
      payload: options.payload,
      preemptible: switches.has('preemptible'),
      urgent: switches.has('urgent'),
    }),
  );
