import type { CliCommand } from '../CliCommand.js';
import { formatUsage } from './formatUsage.js';
import { periodOptions } from './periodOptions.js';
import { fetchInvoice } from './fetchInvoice.js';

/** Shows the usage of a workspace in a period, by job. */
export const usageCommand: CliCommand = {
  name: 'usage',
  args: '<workspace>',
  description: 'Show the recorded usage of a workspace in a period, by job',
  options: periodOptions,
  examples: ['labels --from 2030-01-01 --to 2030-02-01'],
  run: async (context) =>
    (await fetchInvoice(context)).map((data) => ({ data, view: formatUsage(data) })),
};
