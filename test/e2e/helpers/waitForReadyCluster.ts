import { findLead } from '../../../tools/cluster/findLead.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';
import { waitUntil } from '../../../tools/cluster/waitUntil.js';
import { isReady } from './isReady.js';
import { isRoutedToLead } from './isRoutedToLead.js';

// Start of the processes, expiry of a lease of 3.5 s and the delay of a rank, with a margin.
const readyLimitMs = 15_000;

/** Waits until every gateway is ready and routes each zone to a lead that holds all workers. */
export const waitForReadyCluster = async (cluster: Cluster): Promise<void> => {
  const { zones, workersPerZone } = cluster.spec;
  await Promise.all(
    cluster.vms.map((vm) =>
      waitUntil(`${vm.id} is ready and routes to every lead`, readyLimitMs, async () => {
        if (!(await isReady(vm))) return undefined;
        const leads = await Promise.all(zones.map((zone) => findLead(cluster, zone, vm.httpPort)));
        if (!leads.every((lead) => lead?.heldWorkers === workersPerZone)) return undefined;
        const routed = await Promise.all(
          zones.map((zone) => isRoutedToLead(cluster, zone, vm.httpPort)),
        );
        return routed.every(Boolean) ? true : undefined;
      }),
    ),
  );
};
