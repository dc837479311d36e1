import type { Problem } from '../../core/Problem.js';
import type { ApiResponse } from './ApiResponse.js';
import { parseJson } from './parseJson.js';
import { problemSchema } from './problemSchema.js';

/** Reads the refusal in an answer; undefined when the answer is not a refusal of siskinhollow. */
export const readProblem = (response: ApiResponse): Problem | undefined => {
  if (!response.contentType.startsWith('application/problem+json')) return undefined;
  const checked = problemSchema.safeParse(parseJson(response.body.toString()).unwrapOr(undefined));
  return checked.success ? checked.data : undefined;
};
