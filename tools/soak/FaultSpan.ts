/** An injected fault with its time span; times are monotonic and comparable between processes. */
export interface FaultSpan {
  kind: string;
  /**
   * What it disturbs: the processes of a VM, its path to the store, the store for all VMs, orders on their way to a
   * worker, something else that may end or prolong runs, or nothing (a graceful shutdown of a worker).
   */
  scope: 'vm' | 'path' | 'store' | 'orders' | 'other' | 'none';
  /** VM or worker that it is injected at; `all` for the store. */
  targetId: string;
  startedAt: number;
  /** Time at which it was over, or null while it is in progress. */
  endedAt: number | null;
}
