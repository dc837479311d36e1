import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { computeRecorderRank } from './computeRecorderRank.js';

/** Delay per rank, so that usually one recorder appends and the others see its record in time. */
const rankDelayMs = 60_000;

/**
 * Appends a copy of the whole tree when the newest copy has reached a third of the log's retention.
 * Several recorders may do so at once, because readers that are up to date ignore the copies.
 */
export const appendTree = (state: State, at: number, wall: number): Effect[] => {
  const { settings, timing, self } = state;
  const { projection, tail, treeRecordWall } = settings;
  if (settings.treeAppendId !== null || tail.hasGap || at < settings.nextTreeAppendAt) return [];
  if (projection.snapshot.version < 0 || treeRecordWall === null) return [];
  const dueWall =
    treeRecordWall + timing.logRetentionMs / 3 + computeRecorderRank(state) * rankDelayMs;
  if (wall < dueWall) return [];
  settings.treeAppendId = `settings/${self.incarnation}/${settings.nextAppendNumber}/tree`;
  settings.nextAppendNumber += 1;
  return [
    {
      type: 'appendLog',
      appendId: settings.treeAppendId,
      stream: 'settings',
      records: [{ kind: 'tree', ...projection }],
    },
  ];
};
