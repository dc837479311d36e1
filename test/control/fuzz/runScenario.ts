import { createFakePlatform, startVm } from '../simulation/createFakePlatform.js';
import { findJobViolations } from '../simulation/findJobViolations.js';
import { findRunViolations } from '../simulation/findRunViolations.js';
import { findBillingViolations } from '../simulation/findBillingViolations.js';
import { findTaskOrigin } from '../simulation/findTaskOrigin.js';
import { advanceTime } from '../simulation/advanceTime.js';
import type { FakePlatform } from '../simulation/FakePlatform.js';
import { getJobState } from '../simulation/getJobState.js';
import { applyAction } from './applyAction.js';
import { faultFreeKinds } from './faultFreeKinds.js';
import type { ScenarioAction } from './ScenarioAction.js';

// Beyond leases, pauses of workers and the longest fault.
const settleMs = 45_000;

// Within this time a task that lasts is started again.
const maxRestartMs = 3000;

const findRefusedJobsThatRan = (platform: FakePlatform, sent: Map<string, number[]>): string[] =>
  [...sent].flatMap(([id, requests]) => {
    const refused = requests.every((request) => {
      const answer = platform.answers.get(request);
      return answer?.type === 'refused' && answer.reason !== 'store-unanswered';
    });
    const ran = platform.runs.some(({ task }) => task.startsWith(id.padStart(16, '0')));
    return refused && ran ? [`job ${id} ran though it was refused`] : [];
  });

const isLongRunning = (platform: FakePlatform, id: string): boolean =>
  findTaskOrigin(platform, `${id.padStart(16, '0')}.0.0.0`)?.step.longRunning === true;

const isRunning = (platform: FakePlatform, task: string): boolean =>
  [...platform.workers.values()].some(({ up, running }) => up && running.has(task));

const hasJustEnded = (platform: FakePlatform, task: string): boolean =>
  platform.runs.some(
    (run) => run.task === task && platform.now - (run.endedAt ?? 0) < maxRestartMs,
  );

/** Tasks that last run as long as their job is not cancelled, and not a moment after it ended. */
const findLongRunningViolations = (
  platform: FakePlatform,
  sent: Map<string, number[]>,
  cancelled: Set<string>,
): string[] =>
  [...sent.keys()].flatMap((id) => {
    if (!isLongRunning(platform, id)) return [];
    const tasks = [0, 1].map((index) => `${id.padStart(16, '0')}.0.0.${index}`);
    const state = getJobState(platform, id);
    if (state === 'cancelled') {
      return tasks
        .filter((task) => isRunning(platform, task))
        .map((task) => `${task} runs on after its job was cancelled`);
    }
    if (state !== 'running' && !cancelled.has(id)) return [`lasting job ${id} is ${state}`];
    return tasks
      .filter((task) => !isRunning(platform, task) && !hasJustEnded(platform, task))
      .map((task) => `${task} lasts and does not run`);
  });

const findUnfinishedJobs = (platform: FakePlatform, sent: Map<string, number[]>): string[] =>
  [...sent].flatMap(([id, requests]) => {
    const accepted = requests.some((request) => platform.answers.get(request)?.type === 'accepted');
    const states = platform.vms.map((_, vm) => getJobState(platform, id, vm));
    const ended = states.every((state) => ['completed', 'failed', 'cancelled'].includes(state));
    return accepted && !ended && !isLongRunning(platform, id)
      ? [`job ${id} was accepted and is ${states.join(', ')}`]
      : [];
  });

const findUnexpectedOutcomes = (
  platform: FakePlatform,
  actions: readonly ScenarioAction[],
  cancelled: Set<string>,
): string[] =>
  [...platform.vms[0]!.state.jobs.keys()].flatMap((id) => {
    const jobId = String(Number(id));
    const state = getJobState(platform, id);
    if (state === 'cancelled' && !cancelled.has(jobId)) return [`job ${jobId} was never cancelled`];
    const failures = actions.some(({ kind }) => kind === 'failWorker');
    return state === 'failed' && !failures ? [`job ${jobId} failed without a cause`] : [];
  });

const findStaleConfigs = ({ vms, store }: FakePlatform): string[] =>
  vms
    .filter(({ state }) => state.config?.version !== store.streams.config.length)
    .map(({ id, state }) => `${id} has version ${state.config?.version} in force`);

/** Without trouble no gang waits for a member in vain, and no lease lapses. */
const findWastedRuns = (platform: FakePlatform, actions: readonly ScenarioAction[]): string[] =>
  actions.every(({ kind }) => faultFreeKinds.includes(kind))
    ? platform.runs
        .filter(({ kind }) => kind === 'alone' || kind === 'lapsed')
        .map(({ task, run, kind }) => `${task} ends ${kind} on a calm day: ${run}`)
    : [];

/** Plays a random day on virtual time; returns what broke a promise. */
export const runScenario = (seed: number, actions: readonly ScenarioAction[]): string[] => {
  const platform = createFakePlatform({ vms: 3, workers: 6, seed });
  const scenario = {
    platform,
    sent: new Map<string, number[]>(),
    cancelled: new Set<string>(),
  };
  advanceTime(platform, 3000);
  actions.forEach((action) => {
    advanceTime(platform, action.afterMs);
    applyAction(scenario, action);
  });
  advanceTime(platform, settleMs);
  platform.vms.filter(({ up }) => !up).forEach((vm) => startVm(platform, vm));
  advanceTime(platform, 3000);
  return [
    ...platform.violations,
    ...findStaleConfigs(platform),
    ...findRunViolations(platform),
    ...findJobViolations(platform),
    ...findBillingViolations(platform),
    ...findWastedRuns(platform, actions),
    ...findRefusedJobsThatRan(platform, scenario.sent),
    ...findUnfinishedJobs(platform, scenario.sent),
    ...findLongRunningViolations(platform, scenario.sent, scenario.cancelled),
    ...findUnexpectedOutcomes(platform, actions, scenario.cancelled),
  ];
};
