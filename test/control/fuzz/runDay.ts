import { createOffice, startVm } from '../world/createOffice.js';
import { findBrokenJobs } from '../world/findBrokenJobs.js';
import { findBrokenRules } from '../world/findBrokenRules.js';
import { findMisbilled } from '../world/findMisbilled.js';
import { findStep } from '../world/findStep.js';
import { runFor } from '../world/runFor.js';
import type { Office } from '../world/Office.js';
import { showState } from '../world/showState.js';
import { applyAction } from './applyAction.js';
import { calmKinds } from './calmKinds.js';
import type { FaultAction } from './FaultAction.js';

// Beyond leases, pauses of workers and the longest fault.
const settleMs = 45_000;

// Within this time a task that lasts is started again.
const restartMs = 3000;

const findFalseRefusals = (office: Office, sent: Map<string, number[]>): string[] =>
  [...sent].flatMap(([id, requests]) => {
    const refused = requests.every((request) => {
      const answer = office.answers.get(request);
      return answer?.type === 'refused' && answer.reason !== 'store-unanswered';
    });
    const ran = office.runs.some(({ task }) => task.startsWith(id.padStart(16, '0')));
    return refused && ran ? [`job ${id} ran though it was refused`] : [];
  });

const isLasting = (office: Office, id: string): boolean =>
  findStep(office, `${id.padStart(16, '0')}.0.0.0`)?.step.longRunning === true;

const isRunning = (office: Office, task: string): boolean =>
  [...office.workers.values()].some(({ up, running }) => up && running.has(task));

const hasJustEnded = (office: Office, task: string): boolean =>
  office.runs.some((run) => run.task === task && office.now - (run.endedAt ?? 0) < restartMs);

/** Tasks that last run as long as their job is not cancelled, and not a moment after it ended. */
const findWrongLasting = (
  office: Office,
  sent: Map<string, number[]>,
  cancelled: Set<string>,
): string[] =>
  [...sent.keys()].flatMap((id) => {
    if (!isLasting(office, id)) return [];
    const tasks = [0, 1].map((index) => `${id.padStart(16, '0')}.0.0.${index}`);
    const state = showState(office, id);
    if (state === 'cancelled') {
      return tasks
        .filter((task) => isRunning(office, task))
        .map((task) => `${task} runs on after its job was cancelled`);
    }
    if (state !== 'running' && !cancelled.has(id)) return [`lasting job ${id} is ${state}`];
    return tasks
      .filter((task) => !isRunning(office, task) && !hasJustEnded(office, task))
      .map((task) => `${task} lasts and does not run`);
  });

const findUnfinished = (office: Office, sent: Map<string, number[]>): string[] =>
  [...sent].flatMap(([id, requests]) => {
    const accepted = requests.some((request) => office.answers.get(request)?.type === 'accepted');
    const states = office.vms.map((_, vm) => showState(office, id, vm));
    const ended = states.every((state) => ['completed', 'failed', 'cancelled'].includes(state));
    return accepted && !ended && !isLasting(office, id)
      ? [`job ${id} was accepted and is ${states.join(', ')}`]
      : [];
  });

const findUncaused = (
  office: Office,
  actions: readonly FaultAction[],
  cancelled: Set<string>,
): string[] =>
  [...office.vms[0]!.state.jobs.keys()].flatMap((id) => {
    const short = String(Number(id));
    const state = showState(office, id);
    if (state === 'cancelled' && !cancelled.has(short)) return [`job ${short} was never cancelled`];
    const failures = actions.some(({ kind }) => kind === 'failWorker');
    return state === 'failed' && !failures ? [`job ${short} failed without a cause`] : [];
  });

const findOldConfig = ({ vms, store }: Office): string[] =>
  vms
    .filter(({ state }) => state.config?.version !== store.streams.config.length)
    .map(({ id, state }) => `${id} has version ${state.config?.version} in force`);

/** Without trouble no gang waits for a member in vain, and no lease lapses. */
const findWasted = (office: Office, actions: readonly FaultAction[]): string[] =>
  actions.every(({ kind }) => calmKinds.includes(kind))
    ? office.runs
        .filter(({ kind }) => kind === 'alone' || kind === 'lapsed')
        .map(({ task, run, kind }) => `${task} ends ${kind} on a calm day: ${run}`)
    : [];

/** Plays a random day on virtual time; returns what broke a promise. */
export const runDay = (seed: number, actions: readonly FaultAction[]): string[] => {
  const office = createOffice({ vms: 3, workers: 6, seed });
  const day = { office, sent: new Map<string, number[]>(), cancelled: new Set<string>() };
  runFor(office, 3000);
  actions.forEach((action) => {
    runFor(office, action.afterMs);
    applyAction(day, action);
  });
  runFor(office, settleMs);
  office.vms.filter(({ up }) => !up).forEach((vm) => startVm(office, vm));
  runFor(office, 3000);
  return [
    ...office.violations,
    ...findOldConfig(office),
    ...findBrokenRules(office),
    ...findBrokenJobs(office),
    ...findMisbilled(office),
    ...findWasted(office, actions),
    ...findFalseRefusals(office, day.sent),
    ...findUnfinished(office, day.sent),
    ...findWrongLasting(office, day.sent, day.cancelled),
    ...findUncaused(office, actions, day.cancelled),
  ];
};
