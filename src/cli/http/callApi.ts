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
  if (status >= 400) return err(buildError(`HTTP status ${status} without a problem object`));
  return parseJson(response.body.toString())
    .mapErr(buildError)
    .andThen((data) => {
      const checked = schema.safeParse(data);
      if (checked.success) return ok(checked.data);
      const [issue] = checked.error.issues;
      return err(buildError(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`));
    });
};

/** Calls the control API and checks the form of its JSON answer. */
export const callApi = async <T>(
  context: Pick<CliContext, 'sendCall'>,
  schema: z.ZodType<T>,
  call: ApiCall,
): Promise<Result<T, CliError>> =>
  (await context.sendCall(call)).andThen((response) => decodeResponse(response, schema));
