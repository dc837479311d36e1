/** Lost connectivity between two zones, two VMs, a VM and some workers, or a VM and the log. */
export interface NetworkPartition {
  /** Simulation time. */
  endsAt: number;
  /** Names of zones, VMs or workers on each side. */
  sides: readonly [readonly string[], readonly string[]];
}
