import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import type { CliError } from '../CliError.js';
import type { ApiResponse } from './ApiResponse.js';
import type { ApiCall } from './ApiCall.js';

/** Longer than the gateway's default timeouts, so that their error responses still arrive. */
const responseTimeoutMs = 120_000;

/** Codes of errors that occur before any byte of the request is written. */
const notSentCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_INVALID_ARG',
]);

/** Methods that change nothing, so that the request can be sent again after any failure. */
const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

const translateError = (
  error: Error & { code?: string },
  url: string,
  method: string,
): CliError => {
  const message = error.message || (error.code ?? error.name);
  const safeToRetry = notSentCodes.has(error.code ?? '') || safeMethods.has(method);
  return { type: safeToRetry ? 'unreachable' : 'interrupted', url, message };
};

/** Sends a request and reads the whole response; a truncated response is an error. */
export const sendApiCall = async (
  connection: { url: string; token: string },
  call: ApiCall,
): Promise<Result<ApiResponse, CliError>> => {
  try {
    const response = await request(`${connection.url.replace(/\/+$/, '')}${call.path}`, {
      method: call.method,
      headers: { ...call.headers, authorization: `Bearer ${connection.token}` },
      body: call.body ?? null,
      headersTimeout: responseTimeoutMs,
      bodyTimeout: responseTimeoutMs,
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    const contentType = String(response.headers['content-type'] ?? '');
    return ok({ status: response.statusCode, contentType, body });
  } catch (error) {
    return err(translateError(error as Error, connection.url, call.method));
  }
};
