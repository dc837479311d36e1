import { createFakePlatform, startVm } from '../simulation/createFakePlatform.js';
import { findJobViolations } from '../simulation/findJobViolations.js';
import { findRunViolations } from '../simulation/findRunViolations.js';
import { findBillingViolations } from '../simulation/findBillingViolations.js';
import { findTaskOrigin } from '../simulation/findTaskOrigin.js';
import { advanceTime } from '../simulation/advanceTime.js';
import type { FakePlatform } from '../simulation/FakePlatform.js';
import { getJobState } from '../simulation/getJobState.js';
import { applyAction } from './applyAction.js';
import { findLateStarts } from './findLateStarts.js';
import { findRemainingRuns } from './findRemainingRuns.js';
import { findUnstoppedRuns } from './findUnstoppedRuns.js';
import { faultFreeKinds } from './faultFreeKinds.js';
import type { Scenario } from './Scenario.js';
import type { ScenarioAction } from './ScenarioAction.js';

// Longer than leases, quarantines of workers and the longest fault.
const settleMs = 45_000;

// A long-running task is restarted within this time.
const maxRestartMs = 3000;

const findRefusedJobsThatRan = (
  platform: FakePlatform,
  requestIdsByJob: Map<string, number[]>,
): string[] =>
  [...requestIdsByJob].flatMap(([id, requestIds]) => {
    const refused = requestIds.every((requestId) => {
      const answer = platform.answers.get(requestId);
      return answer?.type === 'refused' && answer.reason !== 'store-unanswered';
    });
    const ran = platform.runs.some(({ task }) => task.startsWith(id.padStart(16, '0')));
    return refused && ran ? [`job ${id} ran though it was refused`] : [];
  });

const isLongRunning = (platform: FakePlatform, id: string): boolean =>
  findTaskOrigin(platform, `${id.padStart(16, '0')}.0.0.0`)?.step.longRunning === true;

const isRunning = (platform: FakePlatform, task: string): boolean =>
  [...platform.workers.values()].some(({ up, running }) => up && running.has(task));

const hasEndedRecently = (platform: FakePlatform, task: string): boolean =>
  platform.runs.some(
    (run) => run.task === task && platform.now - (run.endedAt ?? 0) < maxRestartMs,
  );

/** Finds long-running tasks that don't run, or that still run after their job was cancelled. */
const findLongRunningViolations = (
  platform: FakePlatform,
  requestIdsByJob: Map<string, number[]>,
  cancelledJobs: Set<string>,
): string[] =>
  [...requestIdsByJob.keys()].flatMap((id) => {
    if (!isLongRunning(platform, id)) return [];
    const tasks = [0, 1].map((index) => `${id.padStart(16, '0')}.0.0.${index}`);
    const state = getJobState(platform, id);
    if (state === 'cancelled') {
      return tasks
        .filter((task) => isRunning(platform, task))
        .map((task) => `${task} still runs after its job was cancelled`);
    }
    if (state !== 'running' && !cancelledJobs.has(id))
      return [`long-running job ${id} is ${state}`];
    return tasks
      .filter((task) => !isRunning(platform, task) && !hasEndedRecently(platform, task))
      .map((task) => `${task} is long-running and does not run`);
  });

const findUnfinishedJobs = (
  platform: FakePlatform,
  requestIdsByJob: Map<string, number[]>,
): string[] =>
  [...requestIdsByJob].flatMap(([id, requestIds]) => {
    const accepted = requestIds.some(
      (requestId) => platform.answers.get(requestId)?.type === 'accepted',
    );
    const states = platform.vms.map((_, vm) => getJobState(platform, id, vm));
    const ended = states.every((state) => ['completed', 'failed', 'cancelled'].includes(state));
    return accepted && !ended && !isLongRunning(platform, id)
      ? [`job ${id} was accepted and is ${states.join(', ')}`]
      : [];
  });

/** Faults by which a job may fail. */
const failureKinds: readonly ScenarioAction['kind'][] = ['failWorker', 'refuseProgress'];

const findUnexpectedOutcomes = (
  platform: FakePlatform,
  actions: readonly ScenarioAction[],
  cancelledJobs: Set<string>,
): string[] =>
  [...platform.vms[0]!.state.jobs.keys()].flatMap((id) => {
    const jobId = String(Number(id));
    const state = getJobState(platform, id);
    if (state === 'cancelled' && !cancelledJobs.has(jobId))
      return [`job ${jobId} was never cancelled`];
    const failuresInjected = actions.some(({ kind }) => failureKinds.includes(kind));
    return state === 'failed' && !failuresInjected
      ? [`job ${jobId} failed without an injected failure`]
      : [];
  });

const findStaleConfigs = ({ vms, store }: FakePlatform): string[] =>
  vms
    .filter(({ state }) => state.config?.version !== store.streams.config.length)
    .map(({ id, state }) => `${id} uses configuration version ${state.config?.version}`);

/** Finds incomplete gangs and lapsed leases in a scenario without faults. */
const findWastedRuns = (platform: FakePlatform, actions: readonly ScenarioAction[]): string[] =>
  actions.every(({ kind }) => faultFreeKinds.includes(kind))
    ? platform.runs
        .filter(({ kind }) => kind === 'alone' || kind === 'lapsed')
        .map(({ task, run, kind }) => `${task} ends ${kind} without a fault: run ${run}`)
    : [];

/** Runs a random scenario on virtual time; returns the violations of guarantees. */
export const runScenario = (
  seed: number,
  actions: readonly ScenarioAction[],
  sizes: Pick<Parameters<typeof createFakePlatform>[0], 'storeLimits' | 'checkpointPadding'> = {},
): string[] => {
  const platform = createFakePlatform({ vms: 3, workers: 6, seed, ...sizes });
  const scenario: Scenario = {
    platform,
    requestIdsByJob: new Map(),
    cancelledJobs: new Set(),
    cancelRequestIdsByJob: new Map(),
    faults: [],
  };
  advanceTime(platform, 3000);
  actions.forEach((action) => {
    advanceTime(platform, action.afterMs);
    applyAction(scenario, action);
  });
  advanceTime(platform, settleMs);
  // The checks read the state of every VM.
  platform.vms.filter(({ up }) => !up).forEach((vm) => startVm(platform, vm));
  advanceTime(platform, 3000);
  return [
    ...platform.violations,
    ...findStaleConfigs(platform),
    ...findRunViolations(platform),
    ...findJobViolations(platform),
    ...findBillingViolations(platform),
    ...findWastedRuns(platform, actions),
    ...findRefusedJobsThatRan(platform, scenario.requestIdsByJob),
    ...findUnfinishedJobs(platform, scenario.requestIdsByJob),
    ...findLongRunningViolations(platform, scenario.requestIdsByJob, scenario.cancelledJobs),
    ...findUnexpectedOutcomes(platform, actions, scenario.cancelledJobs),
    ...findLateStarts(scenario),
    ...findUnstoppedRuns(scenario),
    ...findRemainingRuns(scenario),
  ];
};
