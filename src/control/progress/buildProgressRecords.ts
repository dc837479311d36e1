import type { RunsRecord } from '../journal/RunsRecord.js';
import { buildPartId } from '../journal/buildPartId.js';
import type { Now } from '../Now.js';
import { buildProgress } from '../plans/buildProgress.js';
import { isJobEnded } from '../plans/isJobEnded.js';
import type { JobPlan } from '../plans/JobPlan.js';
import { listStartedTasks } from '../plans/listStartedTasks.js';
import type { ProgressParts } from '../plans/ProgressParts.js';
import type { StepPlan } from '../plans/StepPlan.js';
import type { Task } from '../plans/Task.js';
import type { StoreLimits } from '../settings/StoreLimits.js';
import { buildPartRecords } from './buildPartRecords.js';
import { measureRecordBytes } from './measureRecordBytes.js';

type ProgressRecord = Extract<RunsRecord, { type: 'progress' }>;

/** The members of a gang share its failures, its checkpoint and its end. */
const addGangMembers = (plan: JobPlan, changed: ReadonlySet<Task>): Set<Task> => {
  const gangs = new Set<StepPlan>();
  changed.forEach((task) => {
    const step = plan.occurrences.get(task.occurrence)?.steps[task.step];
    if (step?.definition.gang) gangs.add(step);
  });
  const members = new Set(changed);
  gangs.forEach(({ tasks }) => tasks.forEach((task) => members.add(task)));
  return members;
};

/**
 * The main record of divided progress: a former version, which doesn't read the parts, finds no occurrence that is
 * open or still to come, and starts nothing of the job.
 */
const buildDividedMain = ({ id, submission, state }: JobPlan): ProgressRecord => ({
  type: 'progress',
  id,
  progress: {
    state: state === 'queued' ? 'running' : state,
    endedAt: 0,
    nextOccurrence: submission.definition.schedule?.count ?? 1,
    openOccurrences: [],
    tasks: [],
  },
});

const buildDividedRecords = (
  plan: JobPlan,
  parts: ProgressParts,
  changed: ReadonlySet<Task>,
  limits: StoreLimits,
  now: Now,
): RunsRecord[] => {
  const { id, nextOccurrence, occurrences } = plan;
  const head = { nextOccurrence, openOccurrences: [...occurrences.keys()] };
  const records: RunsRecord[] = [
    { type: 'progressHead', id, head },
    ...buildPartRecords(plan, parts, changed, limits, now),
  ];
  if (!parts.isMainWritten) records.push(buildDividedMain(plan));
  parts.isMainWritten = true;
  return records;
};

/** The end of a divided job precedes the tombstones of its parts, without which it would seem to have no tasks. */
const buildEndRecords = (plan: JobPlan, main: ProgressRecord): RunsRecord[] => {
  const { id, parts } = plan;
  if (!parts) return [main];
  return [
    main,
    { type: 'dropped', recordType: 'progressHead', id },
    ...[...parts.tasks.keys()].map((part): RunsRecord => ({
      type: 'dropped',
      recordType: 'progressPart',
      id: buildPartId(id, part),
    })),
  ];
};

/**
 * Builds the records of a job's progress that have to be written after these tasks changed: one for the whole job as
 * long as the store takes it, else a head and the changed parts.
 */
export const buildProgressRecords = (
  plan: JobPlan,
  changed: ReadonlySet<Task>,
  limits: StoreLimits,
  now: Now,
): RunsRecord[] => {
  if (plan.parts && !isJobEnded(plan.state)) {
    return buildDividedRecords(plan, plan.parts, addGangMembers(plan, changed), limits, now);
  }
  const main: ProgressRecord = {
    type: 'progress',
    id: plan.id,
    progress: buildProgress(plan, now),
  };
  if (isJobEnded(plan.state)) return buildEndRecords(plan, main);
  if (measureRecordBytes(main) <= limits.maxRecordBytes) return [main];
  plan.parts = { nextNumber: 0, tasks: new Map(), isMainWritten: false };
  return buildDividedRecords(plan, plan.parts, listStartedTasks(plan), limits, now);
};
