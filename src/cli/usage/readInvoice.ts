import { err, type Result } from 'neverthrow';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';
import { callApi } from '../http/callApi.js';
import { parsePeriod } from '../options/parsePeriod.js';
import { invoiceSchema } from './invoiceSchema.js';
import type { ShownInvoice } from './ShownInvoice.js';

/** Reads the use of the workspace named by the first argument in the period of the options. */
export const readInvoice = async (context: CliContext): Promise<Result<ShownInvoice, CliError>> => {
  const query = parsePeriod(context);
  if (query.isErr()) return err(query.error);
  const workspace = encodeURIComponent(context.args[0] ?? '');
  const path = `/v1/workspaces/${workspace}/usage?${query.value}`;
  return callApi(context, invoiceSchema, { method: 'GET', path });
};
