import { createHash } from 'node:crypto';

/** Hashes a bearer token as the settings store it: SHA-256 in hexadecimal. */
export const hashToken = (token: string): string =>
  createHash('sha256').update(token).digest('hex');
