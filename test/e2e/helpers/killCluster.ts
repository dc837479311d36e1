import fs from 'node:fs';
import type { Cluster } from '../../../tools/cluster/Cluster.js';
import { listAllProcesses } from './listAllProcesses.js';

/** Kills every process of a cluster with SIGKILL, which also ends processes paused by SIGSTOP. */
export const killCluster = async (cluster: Cluster | undefined): Promise<void> => {
  if (!cluster) return;
  const processes = listAllProcesses(cluster);
  processes.forEach((child) => child.signal('SIGKILL'));
  await Promise.all(processes.map(({ exited }) => exited));
  fs.rmSync(cluster.folder, { recursive: true, force: true });
};
