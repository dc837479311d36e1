import { scheduleSilenceChecks } from '../simulation/scheduleSilenceChecks.js';
import { findLinkPartitionEnd } from '../simulation/findLinkPartitionEnd.js';
import type { NetworkPartition } from '../simulation/NetworkPartition.js';
import type { Simulation } from '../simulation/Simulation.js';

/** Partitions the network between two sets of machines for a while. */
export const addPartition = (
  simulation: Simulation,
  sides: NetworkPartition['sides'],
  forMs: number,
): void => {
  simulation.partitions = simulation.partitions.filter(
    (partition) => partition.endsAt > simulation.now,
  );
  simulation.partitions.push({ endsAt: simulation.now + forMs, sides });
  scheduleSilenceChecks(simulation, (link) => findLinkPartitionEnd(simulation, link) !== null);
};
