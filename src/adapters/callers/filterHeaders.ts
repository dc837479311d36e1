import type { IncomingHttpHeaders } from 'node:http';
import { hopByHopHeaders } from './hopByHopHeaders.js';

/** Removes hop-by-hop headers, those named by `Connection`, and the excluded ones. */
export const filterHeaders = (
  headers: IncomingHttpHeaders,
  excluded: readonly string[] = [],
): Record<string, string | string[]> => {
  const connectionHeaders = String(headers.connection ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase());
  return Object.fromEntries(
    Object.entries(headers).filter(
      (entry): entry is [string, string | string[]] =>
        entry[1] !== undefined &&
        !hopByHopHeaders.has(entry[0]) &&
        !connectionHeaders.includes(entry[0]) &&
        !excluded.includes(entry[0]),
    ),
  );
};
