import { getNodeRole } from '../../core/getNodeRole.js';
import { getNodeVm } from '../../core/getNodeVm.js';
import type { NodeId } from '../../core/NodeId.js';
import type { Role } from '../../core/Role.js';

// Gateways ask the schedulers of all zones, as a key or a job may have its home in any of them.
// Schedulers meet only inside their zone, so that links do not grow with the square of all VMs.
const dialRules: Record<Role, Record<Role, 'all' | 'zone' | 'vm' | 'never'>> = {
  gateway: { gateway: 'never', scheduler: 'all', recorder: 'vm' },
  scheduler: { gateway: 'never', scheduler: 'zone', recorder: 'vm' },
  recorder: { gateway: 'never', scheduler: 'never', recorder: 'all' },
};

/** Tells whether a daemon opens the connection to another; of two alike, the lower VM id does. */
export const isDialer = (
  self: { node: NodeId; zone: string },
  peer: { node: NodeId; zone: string },
): boolean => {
  const role = getNodeRole(self.node);
  const rule = dialRules[role][getNodeRole(peer.node)];
  const sameVm = getNodeVm(self.node) === getNodeVm(peer.node);
  if (role === getNodeRole(peer.node) && self.node >= peer.node) return false;
  return (
    rule === 'all' || (rule === 'zone' && self.zone === peer.zone) || (rule === 'vm' && sameVm)
  );
};
