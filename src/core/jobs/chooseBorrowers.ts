import type { State } from '../State.js';
import type { Job } from './Job.js';
import { listPartsOnWorker } from './listPartsOnWorker.js';
import type { WorkerView } from './WorkerView.js';

// Preemptible jobs leave first, of these the ones that were started last and lose least. Others
// are on a guarantee's cells only after the plan was remapped; the guarantee still has precedence.
const compareBorrowers = (a: Job, b: Job): number =>
  Number(b.spec.preemptible) - Number(a.spec.preemptible) ||
  Number(b.specKnown) - Number(a.specKnown) ||
  (b.startedWall ?? 0) - (a.startedWall ?? 0);

/**
 * Chooses the gangs that must leave a worker so that `needed` accelerators become free, among the
 * workspaces that use more than their cells there; gangs that already leave count.
 * Cost: O(tasks of the worker × parts of their gangs).
 */
export const chooseBorrowers = (state: State, view: WorkerView, needed: number): Job[] => {
  const usedBy = new Map(view.usedByWorkspace);
  let missing = needed - (view.accelerators - view.usedAccelerators);
  const staying: [Job, number][] = [];
  listPartsOnWorker(state.jobs, view.workerId).forEach((parts, job) => {
    const accelerators = parts.length * job.spec.acceleratorsPerTask;
    if (job.state !== 'checkpointing' && job.state !== 'stopping') {
      staying.push([job, accelerators]);
      return;
    }
    missing -= accelerators;
    usedBy.set(job.workspace, (usedBy.get(job.workspace) ?? 0) - accelerators);
  });
  const chosen: Job[] = [];
  staying.sort(([a], [b]) => compareBorrowers(a, b));
  staying.forEach(([job, accelerators]) => {
    const used = usedBy.get(job.workspace) ?? 0;
    if (missing <= 0 || used <= (view.guaranteedByWorkspace.get(job.workspace) ?? 0)) return;
    chosen.push(job);
    missing -= accelerators;
    usedBy.set(job.workspace, used - accelerators);
  });
  return chosen;
};
