import { err, type Result } from 'neverthrow';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';
import { callApi } from '../http/callApi.js';
import { parsePeriodQuery } from '../options/parsePeriodQuery.js';
import { invoiceSchema } from './invoiceSchema.js';
import type { ApiInvoice } from './ApiInvoice.js';

/** Reads the use of the workspace named by the first argument in the period of the options. */
export const fetchInvoice = async (context: CliContext): Promise<Result<ApiInvoice, CliError>> => {
  const query = parsePeriodQuery(context);
  if (query.isErr()) return err(query.error);
  const workspace = encodeURIComponent(context.args[0] ?? '');
  const path = `/v1/workspaces/${workspace}/usage?${query.value}`;
  return callApi(context, invoiceSchema, { method: 'GET', path });
};
