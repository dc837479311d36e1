import { err, type Result } from 'neverthrow';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';
import { callApi } from '../http/callApi.js';
import { parsePeriodQuery } from '../options/parsePeriodQuery.js';
import { invoiceSchema } from './invoiceSchema.js';
import type { ApiInvoice } from './ApiInvoice.js';

/** Fetches the usage of the workspace in the first argument, for the period in the options. */
export const fetchInvoice = async (context: CliContext): Promise<Result<ApiInvoice, CliError>> => {
  const query = parsePeriodQuery(context);
  if (query.isErr()) return err(query.error);
  const workspace = encodeURIComponent(context.args[0] ?? '');
  const path = `/v1/workspaces/${workspace}/usage?${query.value}`;
  return callApi(context, invoiceSchema, { method: 'GET', path });
};
