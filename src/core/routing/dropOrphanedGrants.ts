import type { State } from '../State.js';
import { getWorkerLoad } from './getWorkerLoad.js';

// Time for a gateway to reconnect before its slots are freed.
const reconnectGraceMs = 3000;

/** Frees the slots of gateways that did not reconnect in time and marks the keys as unknown. */
export const dropOrphanedGrants = (state: State, at: number): void => {
  state.routing.grants.forEach((grant) => {
    if (grant.gatewayLostAt === null || at - grant.gatewayLostAt < reconnectGraceMs) return;
    state.routing.grants.delete(grant.attemptId);
    getWorkerLoad(state, grant.workerId).grantedAttempts.delete(grant.attemptId);
    const key = grant.keyId === undefined ? undefined : state.routing.keys.get(grant.keyId);
    if (key && key.requestId === grant.requestId) {
      key.state = 'unknown';
      state.replication.changedKeys.add(key.id);
    }
  });
};
