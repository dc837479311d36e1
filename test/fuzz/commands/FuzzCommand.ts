/** One step of a scenario. Indexes are taken modulo the number of items that they select from. */
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
  | { type: 'cancelJob'; gateway: number; job: number; all: boolean }
  | { type: 'leave'; caller: number }
  | { type: 'advance'; ms: number }
  | { type: 'kill'; node: number; forMs: number }
  | { type: 'killVm'; vm: number; forMs: number }
  | { type: 'stop'; node: number; forMs: number }
  | { type: 'terminate'; node: number }
  | { type: 'cutZones'; forMs: number }
  | { type: 'cutVms'; vm: number; other: number; forMs: number }
  /** Partitions a VM from the workers whose bit is set. */
  | { type: 'cutWorkers'; vm: number; workers: number; forMs: number }
  /** Partitions a VM from the log. */
  | { type: 'cutLog'; vm: number; forMs: number }
  | { type: 'logOutage'; forMs: number }
  | { type: 'loseAppendAnswers'; forMs: number }
  | { type: 'propose'; gateway: number; path: 'zones' | 'teams/t1' | 'teams/t2'; again: boolean }
  | { type: 'workerLeaves'; worker: number }
  | { type: 'workerRestarts'; worker: number; forMs: number }
  | { type: 'workerFails'; worker: number; how: 'status' | 'reset'; forMs: number }
  | { type: 'workerSlow'; worker: number; forMs: number }
  | { type: 'slowCalls'; forMs: number }
  | { type: 'duplicateCalls'; forMs: number };
