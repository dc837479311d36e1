import fs from 'node:fs';
import type { Cluster } from './Cluster.js';
import { stopProcess } from './stopProcess.js';

/** What stopping an office showed. */
interface StopReport {
  /** Exit code or signal of each daemon that was asked to stop. */
  exits: Record<string, number | string>;
}

/** Stops the daemons with SIGTERM, then the stand-ins; kills by process id what does not end. */
export const stopCluster = async (cluster: Cluster, limitMs: number): Promise<StopReport> => {
  const daemons = cluster.vms.flatMap((vm) => Object.values(vm.daemons));
  const exits = await Promise.all(
    daemons.map(async (daemon) => [daemon.name, await stopProcess(daemon, 'SIGTERM', limitMs)]),
  );
  const standIns = [cluster.log, cluster.vmList, ...cluster.workers.map(({ process }) => process)];
  await Promise.all(standIns.map((child) => stopProcess(child, 'SIGTERM', 1000)));
  fs.rmSync(cluster.folder, { recursive: true, force: true });
  return { exits: Object.fromEntries(exits) as StopReport['exits'] };
};
