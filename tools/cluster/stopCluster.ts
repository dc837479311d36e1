import fs from 'node:fs';
import type { Cluster } from './Cluster.js';
import { stopProcess } from './stopProcess.js';

/** Result of stopping a cluster. */
interface StopReport {
  /** Exit code or signal of each daemon by its name; `late` if it had to be killed. */
  exits: Record<string, number | string>;
}

/** Stops the daemons with SIGTERM, then the stand-ins; kills what does not exit in time. */
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
