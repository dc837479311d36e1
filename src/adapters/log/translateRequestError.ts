import type { LogClientError } from './LogClientError.js';

/** Codes of failures that come before the first byte of the request. */
const notSentCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Translates an error thrown by the HTTP client. */
export const translateRequestError = (error: unknown): LogClientError => {
  // Read by shape: `instanceof` fails for errors that were made in another realm.
  const { code, message } = Object(error) as { code?: unknown; message?: unknown };
  return {
    kind: typeof code === 'string' && notSentCodes.has(code) ? 'notSent' : 'unknown',
    message: [code, message ?? error].filter((part) => part !== undefined).join(' '),
  };
};
