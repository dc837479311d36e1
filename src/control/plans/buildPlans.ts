import type { Effect } from '../Effect.js';
import { groupBy } from '../groupBy.js';
import type { JobProgress } from '../jobs/JobProgress.js';
import type { ProgressPart } from '../jobs/ProgressPart.js';
import type { PredecessorState } from '../lead/PredecessorState.js';
import type { Term } from '../lead/Term.js';
import type { Now } from '../Now.js';
import type { State } from '../State.js';
import { addPlan } from './addPlan.js';
import { finishPlan } from './finishPlan.js';
import { hasBegunTask } from './hasBegunTask.js';
import { isJobEnded } from './isJobEnded.js';
import type { JobPlan } from './JobPlan.js';
import { mergeProgress } from './mergeProgress.js';
import { restoreParts } from './restoreParts.js';
import { restorePlan } from './restorePlan.js';

/** Schedules an end or a begun task for publication that a former leader persisted but did not publish. */
const restoreUnpublishedState = (term: Term, plan: JobPlan, progress: JobProgress): void => {
  if (isJobEnded(progress.state)) {
    plan.state = progress.state;
    plan.endedAt = progress.endedAt;
  } else if (plan.state === 'queued' && hasBegunTask(progress)) plan.state = 'running';
  else return;
  term.unpublishedJobIds.add(plan.id);
};

const restoreProgress = (
  term: Term,
  plan: JobPlan,
  parts: readonly ProgressPart[],
  now: Now,
): void => {
  const { progress, heads } = term.predecessor;
  const main = progress.get(plan.id) ?? null;
  const merged = mergeProgress({ main, head: heads.get(plan.id) ?? null, parts });
  if (!merged) return;
  restorePlan(term, plan, merged.progress, now);
  restoreUnpublishedState(term, plan, merged.progress);
  if (merged.isDivided) restoreParts(term, plan, merged);
};

/** Marks the records of progress that belong to no planned job to be dropped, and parts whose rows are not used. */
const dropOrphans = (state: State, term: Term, { progress, heads, parts }: PredecessorState) => {
  progress.forEach((_progress, id) => {
    if (!state.jobs.has(id)) term.orphanedRecords.push({ recordType: 'progress', id });
  });
  heads.forEach((_head, id) => {
    if (!term.plans.get(id)?.parts) term.orphanedRecords.push({ recordType: 'progressHead', id });
  });
  parts.forEach(({ id: jobId, part }, id) => {
    if (term.plans.get(jobId)?.parts?.tasks.has(part)) return;
    term.orphanedRecords.push({ recordType: 'progressPart', id });
  });
};

/** Builds the plans of all jobs that have not ended, from their stored progress, at the start of a term. */
export const buildPlans = (state: State, term: Term, now: Now): Effect[] => {
  const effects: Effect[] = [];
  const { predecessor } = term;
  const partsByJob = groupBy(predecessor.parts.values(), ({ id }) => id);
  state.jobs.forEach((job) => {
    const plan = addPlan(state, job);
    if (!plan) return;
    restoreProgress(term, plan, partsByJob.get(job.id) ?? [], now);
    if (job.cancelledAt !== null) effects.push(...finishPlan(term, plan, 'cancelled', now));
  });
  dropOrphans(state, term, predecessor);
  predecessor.progress.clear();
  predecessor.heads.clear();
  predecessor.parts.clear();
  return effects;
};
