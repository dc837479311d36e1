import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { computeRecorderRank } from './computeRecorderRank.js';

/** Delay per rank before the next recorder appends in place of one that has not. */
const rankDelayMs = 60_000;

/**
 * Appends the whole tree again when the newest copy has reached a third of the log's retention.
 * Two recorders may do so at once: readers that are up to date ignore the copies.
 */
export const appendTree = (state: State, at: number, wall: number): Effect[] => {
  const { settings, timing, self } = state;
  const { projection: fold, tail, treeRecordWall: treeWall } = settings;
  if (settings.treeAppendId !== null || tail.hasGap || at < settings.nextTreeAppendAt) return [];
  if (fold.snapshot.version < 0 || treeWall === null) return [];
  const dueWall = treeWall + timing.logRetentionMs / 3 + computeRecorderRank(state) * rankDelayMs;
  if (wall < dueWall) return [];
  settings.treeAppendId = `settings/${self.incarnation}/${settings.nextAppendNumber}/tree`;
  settings.nextAppendNumber += 1;
  return [
    {
      type: 'appendLog',
      appendId: settings.treeAppendId,
      stream: 'settings',
      records: [{ kind: 'tree', ...fold }],
    },
  ];
};
