import { err } from 'neverthrow';
import type { CliCommand } from '../CliCommand.js';
import { buildJobPath } from '../http/buildJobPath.js';
import { callApiAndFormat } from '../http/callApiAndFormat.js';
import { buildJobBody } from './buildJobBody.js';

/** Submits a gang job. */
export const jobsSubmitCommand: CliCommand = {
  name: 'jobs submit',
  args: '<workspace>',
  description: 'Submit a gang job',
  options: [
    { flags: '--tasks <count>', description: 'Number of parts; all run at the same time or none' },
    { flags: '--accelerators <count>', description: 'Accelerators per part' },
    { flags: '--declared-ms <ms>', description: 'Expected run time in milliseconds' },
    { flags: '--adjacency <level>', description: 'worker, rack or zone (default: zone)' },
    { flags: '--zone <zone>', description: 'Zone to run in (default: zone of the gateway)' },
    { flags: '--payload <text>', description: 'Input that is passed to the worker unchanged' },
    {
      flags: '--preemptible',
      description: 'May borrow capacity, and may be checkpointed and preempted',
    },
    { flags: '--urgent', description: 'Reclaim borrowed capacity immediately' },
    {
      flags: '--key <key>',
      description: 'Idempotency key; a repeated submission returns the same job',
    },
  ],
  examples: [
    'labels --tasks 4 --accelerators 8 --declared-ms 3600000 --key batch-17',
    'labels --tasks 1 --accelerators 2 --declared-ms 60000 --urgent',
  ],
  run: async (context) => {
    const body = buildJobBody(context);
    if (body.isErr()) return err(body.error);
    const { key } = context.options;
    return callApiAndFormat(context, {
      method: 'POST',
      path: buildJobPath(context.args[0] ?? ''),
      headers: {
        'content-type': 'application/json',
        ...(key === undefined ? {} : { 'idempotency-key': key }),
      },
      body: body.value,
    });
  },
};
