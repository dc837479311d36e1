import { createHash } from 'node:crypto';
import { stringify } from 'smol-toml';
import type { ClusterSpec } from './ClusterSpec.js';
import type { ClusterVm } from './ClusterVm.js';

type VmPlan = Omit<ClusterVm, 'daemons'>;

/** Formats the configuration file of a VM as TOML. */
export const formatConfig = (
  vm: VmPlan,
  vms: VmPlan[],
  platform: { logPort: number; vmListPort: number },
  rootToken: string,
  spec: ClusterSpec,
): string =>
  stringify({
    vmId: vm.id,
    zone: vm.zone,
    meshSecret: 'loopback-mesh-secret',
    rootTokenHash: createHash('sha256').update(rootToken).digest('hex'),
    listen: {
      httpPort: vm.httpPort,
      gatewayPort: vm.meshPorts.gateway,
      schedulerPort: vm.meshPorts.scheduler,
      recorderPort: vm.meshPorts.recorder,
    },
    log: { url: `http://127.0.0.1:${platform.logPort}` },
    vmList: { url: `http://127.0.0.1:${platform.vmListPort}` },
    timing: spec.timing ?? {},
    vm: vms.map(({ id, zone, meshPorts }) => ({
      id,
      zone,
      host: '127.0.0.1',
      gatewayPort: meshPorts.gateway,
      schedulerPort: meshPorts.scheduler,
      recorderPort: meshPorts.recorder,
    })),
  });
