import { defaultTiming } from './defaultTiming.js';
import { createGuaranteesState } from './guarantees/createGuaranteesState.js';
import { createJobsState } from './jobs/createJobsState.js';
import { createMembershipState } from './membership/createMembershipState.js';
import { createOwnershipState } from './ownership/createOwnershipState.js';
import { createRecoveryState } from './recovery/createRecoveryState.js';
import { createReplicationState } from './replication/createReplicationState.js';
import { createRequestsState } from './requests/createRequestsState.js';
import { createRoutingState } from './routing/createRoutingState.js';
import type { NodeIdentity } from './NodeIdentity.js';
import { createSettingsState } from './settings/createSettingsState.js';
import type { State } from './State.js';
import type { Timing } from './Timing.js';
import { createUsageState } from './usage/createUsageState.js';

/** Creates the initial state of a daemon. */
export const createState = (
  self: NodeIdentity,
  rootTokenHash: string,
  timing: Partial<Timing> = {},
): State => ({
  self,
  timing: { ...defaultTiming, ...timing },
  access: { rootTokenHash },
  settings: createSettingsState(),
  membership: createMembershipState(),
  ownership: createOwnershipState(),
  requests: createRequestsState(),
  routing: createRoutingState(),
  replication: createReplicationState(),
  recovery: createRecoveryState(),
  jobs: createJobsState(),
  guarantees: createGuaranteesState(),
  usage: createUsageState(),
});
