import type { KeyRecord } from '../routing/KeyRecord.js';

/** Copies a key without its local expiry time. */
export const copyKey = (key: KeyRecord): Omit<KeyRecord, 'forgetAt'> => ({
  id: key.id,
  requestId: key.requestId,
  state: key.state,
});
