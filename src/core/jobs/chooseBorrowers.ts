import type { State } from '../State.js';
import type { Job } from './Job.js';
import { listPartsOnWorker } from './listPartsOnWorker.js';
import type { WorkerView } from './WorkerView.js';

// Preemptible jobs come first, and among these the latest started, which lose the least work. Other
// jobs use the cells of another workspace only after a change of the plan; guarantees still win.
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
  const usedBy = new Map(view.usedByWorkspace);
  let missingAccelerators = needed - (view.accelerators - view.usedAccelerators);
  const staying: [Job, number][] = [];
  listPartsOnWorker(state.jobs, view.workerId).forEach((parts, job) => {
    const accelerators = parts.length * job.spec.acceleratorsPerTask;
    if (job.state !== 'checkpointing' && job.state !== 'stopping') {
      staying.push([job, accelerators]);
      return;
    }
    missingAccelerators -= accelerators;
    usedBy.set(job.workspace, (usedBy.get(job.workspace) ?? 0) - accelerators);
  });
  const chosen: Job[] = [];
  staying.sort(([a], [b]) => comparePreemptionOrder(a, b));
  staying.forEach(([job, accelerators]) => {
    const used = usedBy.get(job.workspace) ?? 0;
    if (missingAccelerators <= 0 || used <= (view.guaranteedByWorkspace.get(job.workspace) ?? 0))
      return;
    chosen.push(job);
    missingAccelerators -= accelerators;
    usedBy.set(job.workspace, used - accelerators);
  });
  return chosen;
};
