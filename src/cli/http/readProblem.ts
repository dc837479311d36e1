import type { Problem } from '../../core/Problem.js';
import type { ApiResponse } from './ApiResponse.js';
import { parseJson } from './parseJson.js';
import { problemSchema } from './problemSchema.js';

/** Reads the problem details of a response; undefined if it is no refusal by siskinhollow. */
export const readProblem = (response: ApiResponse): Problem | undefined => {
  if (!response.contentType.startsWith('application/problem+json')) return undefined;
  const parsed = problemSchema.safeParse(parseJson(response.body.toString()).unwrapOr(undefined));
  return parsed.success ? parsed.data : undefined;
};
