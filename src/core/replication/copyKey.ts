import type { KeyRecord } from '../routing/KeyRecord.js';

/** Copies a key record without its expiry time, which is local to each VM. */
export const copyKey = (key: KeyRecord): Omit<KeyRecord, 'forgetAt'> => ({
  id: key.id,
  requestId: key.requestId,
  state: key.state,
});
