import type { CliCommand } from '../CliCommand.js';
import { periodOptions } from '../usage/periodOptions.js';
import { fetchInvoice } from '../usage/fetchInvoice.js';
import { formatInvoice } from './formatInvoice.js';

/** Prints the invoice of a workspace with all its lines. */
export const invoiceCommand: CliCommand = {
  name: 'invoice',
  args: '<workspace>',
  description: 'Print the invoice of a workspace for a period, with all its lines',
  options: periodOptions,
  examples: [
    'labels --from 2030-01-01 --to 2030-02-01',
    'labels --from 2030-01-01 --to 2030-02-01 --json > invoice.json',
  ],
  run: async (context) =>
    (await fetchInvoice(context)).map((data) => ({ data, view: formatInvoice(data) })),
};
