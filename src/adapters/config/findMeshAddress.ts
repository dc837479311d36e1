import type { NodeId } from '../../core/NodeId.js';
import type { Role } from '../../core/Role.js';
import type { DaemonConfig } from './DaemonConfig.js';

const portKeys = {
  gateway: 'gatewayPort',
  scheduler: 'schedulerPort',
  recorder: 'recorderPort',
} as const satisfies Record<Role, string>;

/** Address at which a daemon that listens on all interfaces is reached from its own VM. */
const loopbackHosts: Readonly<Record<string, string>> = { '0.0.0.0': '127.0.0.1', '::': '::1' };

/** Finds the mesh address of a daemon by its VM and role; undefined if the VM is not configured. */
export const findMeshAddress = (
  config: Pick<DaemonConfig, 'vmId' | 'listen' | 'vm'>,
  node: NodeId,
): { host: string; port: number } | undefined => {
  const separator = node.lastIndexOf('/');
  const vmId = node.slice(0, separator);
  const portKey = portKeys[node.slice(separator + 1) as Role];
  if (vmId === config.vmId) {
    const { host } = config.listen;
    return { host: loopbackHosts[host] ?? host, port: config.listen[portKey] };
  }
  const vm = config.vm.find(({ id }) => id === vmId);
  return vm && { host: vm.host, port: vm[portKey] };
};
