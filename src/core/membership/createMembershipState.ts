import type { MembershipState } from './MembershipState.js';

/** Creates the membership state of a daemon that knows no others. */
export const createMembershipState = (): MembershipState => ({
  peers: new Map(),
  vmStates: new Map(),
  nextHeartbeatAt: 0,
  nextRemoteHeartbeatAt: 0,
  drainingSince: null,
  listenerClosed: false,
  exited: false,
});
