import { err, ok, Result, ResultAsync } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type { z } from 'zod';
import type { LogClientError } from './LogClientError.js';
import { translateRequestError } from './translateRequestError.js';

/** Statuses with which the log service rejects a request before it has any effect. */
const busyStatuses: ReadonlySet<number> = new Set([429, 503]);

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  translateRequestError,
);

const decodeResponse = <T>(
  status: number,
  text: string,
  schema: z.ZodType<T>,
): Result<T, LogClientError> => {
  if (busyStatuses.has(status)) return err({ kind: 'notSent', message: `status ${status}` });
  if (status < 200 || status > 299) return err({ kind: 'unknown', message: `status ${status}` });
  return parseJson(text).andThen((json) => {
    const parsed = schema.safeParse(json);
    return parsed.success
      ? ok(parsed.data)
      : err({ kind: 'unknown' as const, message: parsed.error.message });
  });
};

/** Sends a request to the log service and decodes the response. */
export const callLog = <T>(
  dispatcher: Dispatcher,
  options: Dispatcher.RequestOptions,
  schema: z.ZodType<T>,
): ResultAsync<T, LogClientError> =>
  ResultAsync.fromPromise(
    dispatcher
      .request(options)
      .then(async ({ statusCode, body }) => ({ statusCode, text: await body.text() })),
    translateRequestError,
  ).andThen(({ statusCode, text }) => decodeResponse(statusCode, text, schema));
