/** Loss of contact until a true time: two zones, two VMs, or a VM and some workers. */
export interface NetworkPartition {
  endsAt: number;
  /** Names of zones, VMs or workers on each side. */
  sides: readonly [readonly string[], readonly string[]];
}
