import type { NodeId } from '../NodeId.js';
import type { ListedVm } from './ListedVm.js';

/** Events about VMs and daemons. */
export type MembershipEvent =
  | { type: 'tick' }
  | { type: 'linkOpened'; node: NodeId; zone: string }
  | { type: 'linkClosed'; node: NodeId }
  | { type: 'vmsListed'; vms: ListedVm[] }
  | { type: 'shutdownRequested' }
  /** Derived event: this scheduler gained or lost the lead, the majority of its zone's workers. */
  | { type: 'leadChanged'; lead: boolean };
