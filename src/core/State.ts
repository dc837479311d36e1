import type { AccessState } from './access/AccessState.js';
import type { GuaranteesState } from './guarantees/GuaranteesState.js';
import type { JobsState } from './jobs/JobsState.js';
import type { MembershipState } from './membership/MembershipState.js';
import type { OwnershipState } from './ownership/OwnershipState.js';
import type { RecoveryState } from './recovery/RecoveryState.js';
import type { ReplicationState } from './replication/ReplicationState.js';
import type { RequestsState } from './requests/RequestsState.js';
import type { RoutingState } from './routing/RoutingState.js';
import type { NodeIdentity } from './NodeIdentity.js';
import type { SettingsState } from './settings/SettingsState.js';
import type { Timing } from './Timing.js';
import type { UsageState } from './usage/UsageState.js';

/** State of one daemon; its event loop owns it, and only `reduce` changes it, in place. */
export interface State {
  self: NodeIdentity;
  timing: Timing;
  access: AccessState;
  settings: SettingsState;
  membership: MembershipState;
  ownership: OwnershipState;
  requests: RequestsState;
  routing: RoutingState;
  replication: ReplicationState;
  recovery: RecoveryState;
  jobs: JobsState;
  guarantees: GuaranteesState;
  usage: UsageState;
}
