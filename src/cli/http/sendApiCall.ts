import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import type { CliError } from '../CliError.js';
import type { ApiAnswer } from './ApiAnswer.js';
import type { ApiCall } from './ApiCall.js';

/** Longer than the gateway's own limits, so that its answer is seen rather than a client timeout. */
const timeoutMs = 120_000;

/** Errors that occur before a byte of the request is written. */
const notSentCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_INVALID_ARG',
]);

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

const translateError = (
  error: Error & { code?: string },
  url: string,
  method: string,
): CliError => {
  const message = error.message || (error.code ?? error.name);
  const harmless = notSentCodes.has(error.code ?? '') || safeMethods.has(method);
  return { type: harmless ? 'unreachable' : 'interrupted', url, message };
};

/** Sends one request and reads the whole answer; an answer that breaks off is an error. */
export const sendApiCall = async (
  connection: { url: string; token: string },
  call: ApiCall,
): Promise<Result<ApiAnswer, CliError>> => {
  try {
    const answer = await request(`${connection.url.replace(/\/+$/, '')}${call.path}`, {
      method: call.method,
      headers: { ...call.headers, authorization: `Bearer ${connection.token}` },
      body: call.body ?? null,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    const body = Buffer.from(await answer.body.arrayBuffer());
    const contentType = String(answer.headers['content-type'] ?? '');
    return ok({ status: answer.statusCode, contentType, body });
  } catch (error) {
    return err(translateError(error as Error, connection.url, call.method));
  }
};
