import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';
import type { CliOutput } from '../CliOutput.js';
import { formatJsonValue } from '../output/formatJsonValue.js';
import type { ApiCall } from './ApiCall.js';
import { callApi } from './callApi.js';

/** Calls the control API and formats its JSON response without a check of its fields. */
export const callApiAndFormat = async (
  context: Pick<CliContext, 'sendCall'>,
  call: ApiCall,
): Promise<Result<CliOutput, CliError>> => {
  const response = await callApi(context, z.unknown(), call);
  return response.map((data) => ({ data, view: formatJsonValue(data) }));
};
