/** One step of a random day. */
export interface ScenarioAction {
  kind:
    | 'submit'
    | 'submitGang'
    | 'submitSteps'
    | 'submitTimed'
    | 'submitSaving'
    | 'submitApart'
    | 'submitLabelled'
    | 'submitLasting'
    | 'cancel'
    | 'changeConfig'
    | 'kill'
    | 'freeze'
    | 'terminate'
    | 'cutStore'
    | 'cutWorkers'
    | 'storeDown'
    | 'answersLost'
    | 'ordersLate'
    | 'crashWorker'
    | 'rebirth'
    | 'cutWorkerOff'
    | 'drainWorker'
    | 'failWorker';
  /** Time since the step before. */
  afterMs: number;
  /** Which VM, worker or job; taken modulo their number. */
  target: number;
  durationMs: number;
}
