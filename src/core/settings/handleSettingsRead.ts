import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { applyPage } from './applyPage.js';
import { answerDecidedProposals } from './answerDecidedProposals.js';
import { applySnapshot } from './applySnapshot.js';
import { closeGap } from './closeGap.js';
import { updateTreeRecordWall } from './updateTreeRecordWall.js';
import { maxPageRecords } from './maxPageRecords.js';
import { readTail } from './readTail.js';

/** Shortest time between two reads of an idle stream, if the log answers a long poll at once. */
const idleReadIntervalMs = 200;

const buildGapWarning = (fromOffset: number, oldestOffset: number): Effect => ({
  type: 'log',
  level: 'warn',
  code: 'settings_records_expired',
  fields: { fromOffset, oldestOffset },
});

/**
 * Processes a page of the `settings` stream: applies settings, answers proposals and reads the next
 * page.
 */
export const handleSettingsRead = (state: State, event: EventOf<'logRead'>): Effect[] => {
  const { settings } = state;
  const { tail } = settings;
  if (event.readId !== tail.readId) return [];
  tail.readId = null;
  tail.nextReadAt = event.records.length > 0 ? event.at : tail.readSentAt + idleReadIntervalMs;
  const effects: Effect[] = [];
  if (event.oldestOffset > tail.nextOffset && !tail.hasGap) {
    tail.hasGap = true;
    effects.push(buildGapWarning(tail.nextOffset, event.oldestOffset));
  }
  updateTreeRecordWall(settings, event.records);
  if (tail.hasGap) closeGap(settings, event);
  else applyPage(settings, event);
  // Before the last page, the tree may be older than the one that other VMs have applied.
  const isAtEnd = !tail.hasGap && event.records.length < maxPageRecords;
  if (isAtEnd) effects.push(...applySnapshot(state, settings.projection.snapshot));
  effects.push(...answerDecidedProposals(state));
  return [...effects, ...readTail(state, event.at)];
};
