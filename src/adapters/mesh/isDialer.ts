import { getNodeRole } from '../../core/getNodeRole.js';
import { getNodeVm } from '../../core/getNodeVm.js';
import type { NodeId } from '../../core/NodeId.js';
import type { Role } from '../../core/Role.js';

// Which peers a daemon dials, by its own role and then by the role of the peer: all, those in its
// zone, those on its VM, or none.
// Gateways connect to the schedulers of all zones, because any zone may own a key or a job.
// Schedulers connect only within their zone, so that the number of links does not grow with the
// square of the number of VMs.
const dialRules: Record<Role, Record<Role, 'all' | 'zone' | 'vm' | 'never'>> = {
  gateway: { gateway: 'never', scheduler: 'all', recorder: 'vm' },
  scheduler: { gateway: 'never', scheduler: 'zone', recorder: 'vm' },
  recorder: { gateway: 'never', scheduler: 'never', recorder: 'all' },
};

/** Tells whether a daemon dials another; of two with the same role, the lower VM id dials. */
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
