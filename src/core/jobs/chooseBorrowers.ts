import type { State } from '../State.js';
import type { Job } from './Job.js';
import { listPartsOnWorker } from './listPartsOnWorker.js';
import type { WorkerView } from './WorkerView.js';

// Preemptible jobs come first, and among these the latest started, which lose the least work. Other
// jobs use the cells of another workspace only after a change of the plan, and the guarantee still
// takes precedence. A job of unknown specification comes late, because it fails when it is stopped.
const comparePreemptionOrder = (a: Job, b: Job): number =>
  Number(b.spec.preemptible) - Number(a.spec.preemptible) ||
  Number(b.specKnown) - Number(a.specKnown) ||
  (b.startedWall ?? 0) - (a.startedWall ?? 0);

/**
 * Chooses the gangs to stop so that `needed` accelerators of a worker become free, among workspaces
 * that use more than their cells there. Gangs that are already being stopped count as free.
 * Cost: O(tasks of the worker × parts of their gangs).
 */
export const chooseBorrowers = (state: State, view: WorkerView, needed: number): Job[] => {
  const remainingUse = new Map(view.usedByWorkspace);
  let missingAccelerators = needed - (view.accelerators - view.usedAccelerators);
  const candidates: [Job, number][] = [];
  listPartsOnWorker(state.jobs, view.workerId).forEach((parts, job) => {
    const accelerators = parts.length * job.spec.acceleratorsPerTask;
    if (job.state !== 'checkpointing' && job.state !== 'stopping') {
      candidates.push([job, accelerators]);
      return;
    }
    missingAccelerators -= accelerators;
    remainingUse.set(job.workspace, (remainingUse.get(job.workspace) ?? 0) - accelerators);
  });
  const chosen: Job[] = [];
  candidates.sort(([a], [b]) => comparePreemptionOrder(a, b));
  candidates.forEach(([job, accelerators]) => {
    const used = remainingUse.get(job.workspace) ?? 0;
    if (missingAccelerators <= 0 || used <= (view.guaranteedByWorkspace.get(job.workspace) ?? 0))
      return;
    chosen.push(job);
    missingAccelerators -= accelerators;
    remainingUse.set(job.workspace, used - accelerators);
  });
  return chosen;
};
