import { buildInvoice } from '../../src/control/report/buildInvoice.js';
import { readStore } from '../../platform/readStore.js';
import { isBinding } from './isBinding.js';
import type { JournalRun } from './JournalRun.js';
import { readJournal } from './readJournal.js';
import { findUnfinished } from './findUnfinished.js';
import { listBeside } from './listBeside.js';
import type { SentJob } from './SentJob.js';
import type { Soak } from './Soak.js';

const acceleratorsPerWorker = 8;

const getEnd = ({ endedAt }: JournalRun): number => endedAt ?? Number.POSITIVE_INFINITY;

const findTwice = (runs: readonly JournalRun[]): string[] =>
  runs.flatMap((run, index) =>
    runs
      .slice(index + 1)
      .filter((other) => other.task === run.task)
      .filter(
        (other) =>
          (run.startedAt < getEnd(other) && other.startedAt < getEnd(run)) ||
          (isBinding(run) && getEnd(run) < other.startedAt) ||
          (isBinding(other) && getEnd(other) < run.startedAt),
      )
      .map((other) => `${run.task}: ${JSON.stringify(run)} and ${JSON.stringify(other)}`),
  );

const findOverfull = (runs: readonly JournalRun[]): string[] =>
  runs.flatMap((run) => {
    const used = listBeside(runs, run).reduce((sum, { gpu }) => sum + gpu, 0);
    return used > acceleratorsPerWorker ? [`${run.workerId} had ${used} accelerators in use`] : [];
  });

const isRefused = ({ answers }: SentJob): boolean =>
  answers.every((status) => status === 429 || status === 503);

const findFalseRefusals = (soak: Soak, runs: readonly JournalRun[]): string[] =>
  [...soak.jobs.values()]
    .filter(isRefused)
    .filter(({ id }) => runs.some(({ task }) => task.startsWith(id)))
    .map(({ id }) => `job ${id} was refused and ran`);

// Faults take most calls' way for seconds only, and clients come back.
const leastAccepted = 0.5;

/** A fleet that serves too little proves nothing. */
const findUnserved = ({ jobs }: Soak): string[] => {
  const accepted = [...jobs.values()].filter(({ answers }) => answers.includes(200)).length;
  return accepted < jobs.size * leastAccepted ? [`${accepted} of ${jobs.size} jobs accepted`] : [];
};

const findMisbilled = async (soak: Soak, runs: readonly JournalRun[]): Promise<string[]> => {
  const content = await readStore(`127.0.0.1:${soak.store.port}`);
  if (content.isErr()) return [`the store cannot be read: ${content.error.reason}`];
  const billed = buildInvoice(content.value, '').reduce((sum, line) => sum + line.runs, 0);
  const ended = runs.filter(({ endedAt }) => endedAt !== null).length;
  return billed > ended ? [`${billed} runs are billed, ${ended} ended`] : [];
};

/** Checks what clients and workers saw against the promises; empty when all were kept. */
export const findBrokenPromises = async (soak: Soak): Promise<string[]> => {
  const present = await Promise.all(soak.workers.map(readJournal));
  const runs = [...soak.workers.flatMap(({ formerRuns }) => formerRuns), ...present.flat()];
  return [
    ...findUnserved(soak),
    ...findTwice(runs),
    ...findOverfull(runs),
    ...findFalseRefusals(soak, runs),
    ...(await findUnfinished(soak)),
    ...(await findMisbilled(soak, runs)),
  ];
};
