import { createHash, timingSafeEqual } from 'node:crypto';

const hashText = (text: string): Buffer => createHash('sha256').update(text).digest();

/** Compares an authorization header with the mesh secret in constant time. */
export const hasMeshSecret = (header: string | undefined, secret: string): boolean =>
  timingSafeEqual(hashText(header ?? ''), hashText(`Bearer ${secret}`));
