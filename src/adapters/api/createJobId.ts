import { createHash, randomBytes } from 'node:crypto';

/** Creates a job id; the same workspace and idempotency key always give the same id. */
export const createJobId = (workspace: string, idempotencyKey: string | undefined): string => {
  if (idempotencyKey === undefined) return `j${randomBytes(12).toString('hex')}`;
  // NUL cannot occur in a header value, so different pairs never give the same hash input.
  const digest = createHash('sha256').update(`${workspace}\0${idempotencyKey}`).digest('hex');
  return `k${digest.slice(0, 24)}`;
};
