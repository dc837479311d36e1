import { findLead } from '../../../tools/cluster/findLead.js';
import type { Cluster } from '../../../tools/cluster/Cluster.js';
import type { ClusterVm } from '../../../tools/cluster/ClusterVm.js';
import { waitUntil } from '../../../tools/cluster/waitUntil.js';
import { isRoutedToLead } from './isRoutedToLead.js';

// Silence of 3.5 s, one rank of 1.5 s, a probe each second and its timeout of 1.5 s: 7.5 s.
const takeOverLimitMs = 7500;

/** Waits until a VM other than the given one leads a zone; returns it. */
export const waitForLead = async (
  cluster: Cluster,
  zone: string,
  port: number,
  formerId?: string,
): Promise<ClusterVm> => {
  const { vmId } = await waitUntil(`${zone} has a lead`, takeOverLimitMs, async () => {
    const lead = await findLead(cluster, zone, port);
    if (!lead || lead.vmId === formerId) return undefined;
    return (await isRoutedToLead(cluster, zone, port)) ? lead : undefined;
  });
  return cluster.vms.find(({ id }) => id === vmId)!;
};
