import type { Effect } from '../Effect.js';
import type { EventTime } from '../jobs/EventTime.js';
import { isWorkerHeld } from '../ownership/isWorkerHeld.js';
import { isWorkerLeaving } from '../routing/isWorkerLeaving.js';
import type { State } from '../State.js';
import { buildPlan } from './buildPlan.js';
import type { GuaranteeCell } from './GuaranteeCell.js';

const listUsableWorkers = (state: State, at: number): Set<string> => {
  const workers = state.settings.inForce?.tree.zones[state.self.zone]?.workers ?? {};
  const usable = Object.keys(workers).filter(
    (id) => !isWorkerLeaving(state, id) && isWorkerHeld(state, id, at),
  );
  return new Set(usable);
};

const sumCellsByWorker = (cells: GuaranteeCell[]): Map<string, Map<string, number>> => {
  const byWorker = new Map<string, Map<string, number>>();
  cells.forEach(({ workerId, workspace, accelerators }) => {
    const byWorkspace = byWorker.get(workerId) ?? new Map<string, number>();
    byWorkspace.set(workspace, (byWorkspace.get(workspace) ?? 0) + accelerators);
    byWorker.set(workerId, byWorkspace);
  });
  return byWorker;
};

/**
 * Recomputes the plan for the workers that this scheduler holds and that are not leaving, and
 * reports changes of the unplaced shapes. Cost: that of `buildPlan`.
 */
export const updatePlan = (state: State, event: EventTime): Effect[] => {
  if (state.self.role !== 'scheduler' || !state.settings.inForce) return [];
  const { guarantees, settings, self } = state;
  const plan = buildPlan(
    settings.inForce?.tree ?? { zones: {}, teams: {} },
    self.zone,
    listUsableWorkers(state, event.at),
    guarantees.cells,
  );
  const previouslyUnplaced = guarantees.unplaced;
  guarantees.cells = plan.cells;
  guarantees.guaranteedByWorker = sumCellsByWorker(plan.cells);
  guarantees.unplaced = plan.unplaced.map((id) => ({
    ...id,
    sinceWall:
      previouslyUnplaced.find((old) => old.workspace === id.workspace && old.shape === id.shape)
        ?.sinceWall ?? event.wall,
  }));
  if (JSON.stringify(previouslyUnplaced) === JSON.stringify(guarantees.unplaced)) return [];
  return [
    { type: 'gauge', name: 'unplaced_guarantees', value: guarantees.unplaced.length },
    {
      type: 'log',
      level: guarantees.unplaced.length > 0 ? 'warn' : 'info',
      code: 'unplaced_guarantees',
      fields: { unplaced: guarantees.unplaced },
    },
  ];
};
