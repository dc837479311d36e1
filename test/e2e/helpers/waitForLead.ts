import { findLead } from '../../../tools/cluster/findLead.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';
import type { ClusterVm } from '../../../tools/cluster/ClusterVm.js';
import { waitUntil } from '../../../tools/cluster/waitUntil.js';
import { isRoutedToLead } from './isRoutedToLead.js';

// Sum of `holderLeaseMs` and `claimMarginMs` (3.5 s), one `rankDelayMs` (1.5 s), `renewEveryMs` as
// the probe interval (1 s) and `workerCallTimeoutMs` (1.5 s).
const takeoverLimitMs = 7500;

/** Waits until a zone has a lead other than the former one; returns the VM of the lead. */
export const waitForLead = async (
  cluster: Cluster,
  zone: string,
  port: number,
  formerLeadId?: string,
): Promise<ClusterVm> => {
  const { vmId } = await waitUntil(`${zone} has a lead`, takeoverLimitMs, async () => {
    const lead = await findLead(cluster, zone, port);
    if (!lead || lead.vmId === formerLeadId) return undefined;
    return (await isRoutedToLead(cluster, zone, port)) ? lead : undefined;
  });
  return cluster.vms.find(({ id }) => id === vmId)!;
};
