import type { State } from '../State.js';
import { getWorkerLoad } from './getWorkerLoad.js';

const reconnectGraceMs = 3000;

/** Frees the slots of gateways whose link was lost for a while; their keys stay unknown. */
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
