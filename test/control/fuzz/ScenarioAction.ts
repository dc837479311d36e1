/** One step of a random scenario. */
export interface ScenarioAction {
  kind:
    | 'submit'
    | 'submitGang'
    | 'submitSteps'
    | 'submitScheduled'
    | 'submitCheckpointing'
    | 'submitSpread'
    | 'submitLabelled'
    | 'submitLongRunning'
    | 'cancel'
    | 'changeConfig'
    | 'killVm'
    | 'suspendVm'
    | 'terminateVm'
    | 'partitionFromStore'
    | 'partitionFromWorkers'
    | 'refuseStoreCalls'
    | 'loseAppendAnswers'
    | 'delayWorkerCalls'
    | 'crashWorker'
    | 'restartWorker'
    | 'partitionWorker'
    | 'cutZone'
    | 'drainWorker'
    | 'failWorker';
  /** Time since the previous step. */
  afterMs: number;
  /** Index of the VM, worker or job that it applies to, modulo their number; varies submitted jobs too. */
  target: number;
  /** Duration of a fault; the run time of a submitted job is derived from it. */
  durationMs: number;
}
