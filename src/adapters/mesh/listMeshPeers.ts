import type { NodeId } from '../../core/NodeId.js';
import type { Role } from '../../core/Role.js';
import type { DaemonConfig } from '../config/DaemonConfig.js';
import { findMeshAddress } from '../config/findMeshAddress.js';
import type { MeshPeer } from './MeshPeer.js';

const roles: readonly Role[] = ['gateway', 'scheduler', 'recorder'];

/** Lists every daemon of this VM and of the configured VMs, with its address. */
export const listMeshPeers = (config: DaemonConfig): MeshPeer[] => {
  const others = config.vm.filter((vm) => vm.id !== config.vmId);
  const vms = [{ id: config.vmId, zone: config.zone }, ...others];
  return vms.flatMap(({ id, zone }) =>
    roles.flatMap((role) => {
      const node: NodeId = `${id}/${role}`;
      const address = findMeshAddress(config, node);
      return address ? [{ node, zone, ...address }] : [];
    }),
  );
};
