/**
 * One step of a scenario. Indexes are taken modulo the number of items that they select from. A
 * fault ends after `forMs` of simulation time.
 */
export type FuzzCommand =
  | {
      type: 'request';
      gateway: number;
      idempotent: boolean;
      /** Idempotency key, or null. */
      key: number | null;
      serviceMs: number;
      timeoutMs: number;
    }
  | { type: 'submitJob'; gateway: number; tasks: number; runMs: number; preemptible: boolean }
  | { type: 'submitGuaranteed'; gateway: number }
  /** Cancels one submitted job, or all of them. */
  | { type: 'cancelJob'; gateway: number; job: number; all: boolean }
  /** A caller disconnects. */
  | { type: 'leave'; caller: number }
  | { type: 'advance'; ms: number }
  /** Ends a process; a new one starts after `forMs`. */
  | { type: 'kill'; node: number; forMs: number }
  | { type: 'killVm'; vm: number; forMs: number }
  /** Pauses a process. */
  | { type: 'stop'; node: number; forMs: number }
  /** Requests a graceful shutdown of a process. */
  | { type: 'terminate'; node: number }
  /** Partitions the first zone from the others. */
  | { type: 'cutZones'; forMs: number }
  /** Partitions two VMs. */
  | { type: 'cutVms'; vm: number; other: number; forMs: number }
  /** Partitions a VM from the workers whose bit is set in `workers`. */
  | { type: 'cutWorkers'; vm: number; workers: number; forMs: number }
  /** Partitions a VM from the log. */
  | { type: 'cutLog'; vm: number; forMs: number }
  | { type: 'logOutage'; forMs: number }
  /** Appends to the log take effect, but their answers are lost. */
  | { type: 'loseAppendAnswers'; forMs: number }
  /** Proposes settings; `again` repeats the id of the newest proposal. */
  | { type: 'propose'; gateway: number; path: 'zones' | 'teams/t1' | 'teams/t2'; again: boolean }
  | { type: 'workerLeaves'; worker: number }
  | { type: 'workerRestarts'; worker: number; forMs: number }
  /** Requests fail with status 500 or a connection reset, and started tasks fail. */
  | { type: 'workerFails'; worker: number; how: 'status' | 'reset'; forMs: number }
  | { type: 'workerSlow'; worker: number; forMs: number }
  | { type: 'slowCalls'; forMs: number }
  | { type: 'duplicateCalls'; forMs: number };
