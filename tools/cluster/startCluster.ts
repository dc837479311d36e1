import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { findFreePorts } from './findFreePorts.js';
import { formatConfig } from './formatConfig.js';
import type { Cluster } from './Cluster.js';
import type { ClusterSpec } from './ClusterSpec.js';
import type { ClusterVm } from './ClusterVm.js';
import type { ClusterWorker } from './ClusterWorker.js';
import { startProcess } from './startProcess.js';
import { startVm } from './startVm.js';

const portsPerVm = 4;
const workersPerRack = 6;

const planVms = (spec: ClusterSpec, folder: string, ports: number[]): ClusterVm[] =>
  spec.zones.flatMap((zone, zoneIndex) =>
    Array.from({ length: spec.vmsPerZone }, (_, index): ClusterVm => {
      const id = `vm-${zoneIndex * spec.vmsPerZone + index + 1}`;
      const [httpPort, gateway, scheduler, recorder] = ports.splice(0, portsPerVm) as [
        number,
        number,
        number,
        number,
      ];
      return {
        id,
        zone,
        httpPort,
        meshPorts: { gateway, scheduler, recorder },
        configFile: path.join(folder, `${id}.toml`),
        daemons: {},
      };
    }),
  );

const startWorkers = (spec: ClusterSpec, ports: number[]): ClusterWorker[] =>
  spec.zones.flatMap((zone) =>
    Array.from({ length: spec.workersPerZone }, (_, index) => {
      const id = `${zone}-w${index + 1}`;
      const port = ports.splice(0, 1)[0]!;
      const rack = `${zone}-rack-${Math.floor(index / workersPerRack) + 1}`;
      const args = ['--port', String(port), '--id', id];
      const script = 'dist/standins/worker/main.js';
      return { id, zone, rack, port, process: startProcess(id, script, args) };
    }),
  );

/** Starts the stand-ins and daemons of a cluster as separate processes on loopback. */
export const startCluster = async (spec: ClusterSpec): Promise<Cluster> => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'siskinhollow-'));
  const vmCount = spec.zones.length * spec.vmsPerZone;
  const workerCount = spec.zones.length * spec.workersPerZone;
  const ports = await findFreePorts(2 + vmCount * portsPerVm + workerCount);
  const [logPort, vmListPort] = ports.splice(0, 2) as [number, number];
  const vms = planVms(spec, folder, ports);
  const workers = startWorkers(spec, ports);
  const rootToken = 'demo-root-token';
  const vmIds = [...vms.map(({ id }) => id), ...workers.map(({ id }) => id)].join(',');
  const cluster: Cluster = {
    spec,
    folder,
    rootToken,
    log: startProcess('log', 'dist/standins/log/main.js', ['--port', String(logPort)]),
    logPort,
    vmList: startProcess('vm-list', 'dist/standins/vm-list/main.js', [
      '--port',
      String(vmListPort),
      '--vms',
      vmIds,
    ]),
    vmListPort,
    vms,
    workers,
  };
  vms.forEach((vm) => {
    const text = formatConfig(vm, vms, { logPort, vmListPort }, rootToken, spec);
    fs.writeFileSync(vm.configFile, text);
    startVm(vm);
  });
  return cluster;
};
