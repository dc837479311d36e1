import type { LogClientError } from './LogClientError.js';

/** Codes of failures that occur before the first byte of the request is sent. */
const notSentCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Translates an error thrown by the HTTP client. */
export const translateRequestError = (error: unknown): LogClientError => {
  // Checked by shape, because `instanceof` fails for errors from another realm.
  const { code, message } = Object(error) as { code?: unknown; message?: unknown };
  return {
    kind: typeof code === 'string' && notSentCodes.has(code) ? 'notSent' : 'unknown',
    message: [code, message ?? error].filter((part) => part !== undefined).join(' '),
  };
};
