import { err, ok, Result, ResultAsync } from 'neverthrow';
import { type Agent, request } from 'undici';
import { z } from 'zod';
import type { WorkerCallError } from './WorkerCallError.js';
import type { WorkerHttpRequest } from './WorkerHttpRequest.js';

const translateError = (error: unknown): WorkerCallError => ({
  kind: 'failed',
  message: error instanceof Error ? error.message : String(error),
});

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  (error): WorkerCallError => ({ kind: 'badAnswer', message: String(error) }),
);

const parseAnswer = <T>(status: number, text: string, schema: z.ZodType<T>) =>
  parseJson(text).andThen((value): Result<T, WorkerCallError> => {
    if (status >= 300) return err({ kind: 'failed', message: `status ${status}` });
    const parsed = schema.safeParse(value);
    return parsed.success
      ? ok(parsed.data)
      : err({ kind: 'badAnswer', message: z.prettifyError(parsed.error) });
  });

/** Sends a control call and validates the response. */
export const callWorkerHttp = <T>(
  agent: Agent,
  url: string,
  call: WorkerHttpRequest,
  schema: z.ZodType<T>,
  timeoutMs: number,
): ResultAsync<T, WorkerCallError> =>
  ResultAsync.fromPromise(
    request(new URL(call.path, url), {
      dispatcher: agent,
      method: call.method,
      ...(call.body === undefined
        ? {}
        : {
            headers: { 'content-type': 'application/json' },
            body: JSON.stringify(call.body),
          }),
      signal: AbortSignal.timeout(timeoutMs),
    }).then(async ({ statusCode, body }) => ({ statusCode, text: await body.text() })),
    translateError,
  ).andThen(({ statusCode, text }) => parseAnswer(statusCode, text, schema));
