import type { IncomingHttpHeaders } from 'node:http';
import { hopByHopHeaders } from './hopByHopHeaders.js';

/** Returns the headers to pass on: without hop-by-hop ones, those named by Connection, and others. */
export const filterHeaders = (
  headers: IncomingHttpHeaders,
  dropped: readonly string[] = [],
): Record<string, string | string[]> => {
  const named = String(headers.connection ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase());
  return Object.fromEntries(
    Object.entries(headers).filter(
      (entry): entry is [string, string | string[]] =>
        entry[1] !== undefined &&
        !hopByHopHeaders.has(entry[0]) &&
        !named.includes(entry[0]) &&
        !dropped.includes(entry[0]),
    ),
  );
};
