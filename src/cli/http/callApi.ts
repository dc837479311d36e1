import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';
import type { ApiResponse } from './ApiResponse.js';
import type { ApiCall } from './ApiCall.js';
import { parseJson } from './parseJson.js';
import { readProblem } from './readProblem.js';

const decodeResponse = <T>(response: ApiResponse, schema: z.ZodType<T>): Result<T, CliError> => {
  const problem = readProblem(response);
  if (problem) return err({ type: 'refused', problem });
  const { status } = response;
  const buildError = (message: string): CliError => ({ type: 'unexpectedAnswer', status, message });
  if (status >= 400) return err(buildError(`HTTP status ${status} without problem details`));
  return parseJson(response.body.toString())
    .mapErr(buildError)
    .andThen((data) => {
      const parsed = schema.safeParse(data);
      if (parsed.success) return ok(parsed.data);
      const [issue] = parsed.error.issues;
      return err(buildError(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`));
    });
};

/** Calls the control API and validates the JSON response against a schema. */
export const callApi = async <T>(
  context: Pick<CliContext, 'sendCall'>,
  schema: z.ZodType<T>,
  call: ApiCall,
): Promise<Result<T, CliError>> =>
  (await context.sendCall(call)).andThen((response) => decodeResponse(response, schema));
