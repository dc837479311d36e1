import { buildInvoice } from '../../src/control/report/buildInvoice.js';
import { readStore } from '../../platform/readStore.js';
import { isCompletionFinal } from './isCompletionFinal.js';
import type { JournalRun } from './JournalRun.js';
import { readClock } from '../../standins/shared/readClock.js';
import { readJournal } from './readJournal.js';
import { findUnfinishedJobs } from './findUnfinishedJobs.js';
import { findRunsAfterCancel } from './findRunsAfterCancel.js';
import { listConcurrentRuns } from './listConcurrentRuns.js';
import { readLeaders } from './readLeaders.js';
import type { SoakFindings } from './SoakFindings.js';
import type { SubmittedJob } from './SubmittedJob.js';
import type { Soak } from './Soak.js';

const acceleratorsPerWorker = 8;

const getEndedAt = ({ endedAt }: JournalRun): number => endedAt ?? Number.POSITIVE_INFINITY;

const findDuplicateRuns = (runs: readonly JournalRun[]): string[] =>
  runs.flatMap((run, index) =>
    runs
      .slice(index + 1)
      .filter((other) => other.task === run.task)
      .filter(
        (other) =>
          (run.startedAt < getEndedAt(other) && other.startedAt < getEndedAt(run)) ||
          (isCompletionFinal(run) && getEndedAt(run) < other.startedAt) ||
          (isCompletionFinal(other) && getEndedAt(other) < run.startedAt),
      )
      .map((other) => `${run.task}: ${JSON.stringify(run)} and ${JSON.stringify(other)}`),
  );

const findOverloadedWorkers = (runs: readonly JournalRun[]): string[] =>
  runs.flatMap((run) => {
    const used = listConcurrentRuns(runs, run).reduce((sum, { gpu }) => sum + gpu, 0);
    return used > acceleratorsPerWorker
      ? [`${run.workerId} is overcommitted: ${used} accelerators in use`]
      : [];
  });

const isRefused = ({ statuses }: SubmittedJob): boolean =>
  statuses.every((status) => status === 429 || status === 503);

const findRefusedJobsThatRan = (soak: Soak, runs: readonly JournalRun[]): string[] =>
  [...soak.jobs.values()]
    .filter(isRefused)
    .filter(({ id }) => runs.some(({ task }) => task.startsWith(id)))
    .map(({ id }) => `job ${id} was refused and ran`);

/** Finds jobs of patient clients that no VM accepted, though their last attempts came after all faults. */
const findUnacceptedJobs = ({ jobs }: Soak): string[] =>
  [...jobs.values()]
    .filter(({ client, statuses }) => client === 'patient' && !statuses.includes(200))
    .map(({ id, statuses }) => `job ${id} was never accepted: ${statuses.join(' ')}`);

const findOverbilling = async (soak: Soak, runs: readonly JournalRun[]): Promise<string[]> => {
  const content = await readStore(`127.0.0.1:${soak.store.port}`);
  if (content.isErr()) return [`the store cannot be read: ${content.error.reason}`];
  const billed = buildInvoice(content.value, '').reduce((sum, line) => sum + line.runs, 0);
  const ended = runs.filter(({ endedAt }) => endedAt !== null).length;
  return billed > ended ? [`${billed} runs are billed, ${ended} ended`] : [];
};

const findUnansweredCancels = ({ jobs }: Soak): string[] =>
  [...jobs.values()]
    .filter(({ cancelled, cancelAnswer }) => cancelled && !cancelAnswer)
    .map(({ id }) => `the cancel of job ${id} was never answered`);

/** Checks the guarantees against what clients and workers observed. */
export const findViolations = async (soak: Soak): Promise<SoakFindings> => {
  // Before the checks that keep this process busy, in which idle connections are closed unseen.
  const unfinishedJobs = await findUnfinishedJobs(soak);
  const currentRuns = await Promise.all(soak.workers.map(readJournal));
  const runs = [...soak.workers.flatMap(({ formerRuns }) => formerRuns), ...currentRuns.flat()];
  const leaders = await readLeaders(soak.store.port);
  const afterCancel = findRunsAfterCancel({ ...soak, runs, leaders, now: readClock().at });
  const broken = [
    ...afterCancel.broken,
    ...findUnansweredCancels(soak),
    ...findUnacceptedJobs(soak),
    ...findDuplicateRuns(runs),
    ...findOverloadedWorkers(runs),
    ...findRefusedJobsThatRan(soak, runs),
    ...unfinishedJobs,
    ...(await findOverbilling(soak, runs)),
  ];
  return { broken, excused: afterCancel.excused };
};
