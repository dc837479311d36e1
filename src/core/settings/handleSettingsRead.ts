import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';
import { acceptPage } from './acceptPage.js';
import { answerDecided } from './answerDecided.js';
import { applySnapshot } from './applySnapshot.js';
import { closeGap } from './closeGap.js';
import { noteTreeWall } from './noteTreeWall.js';
import { pageLimit } from './pageLimit.js';
import { readTail } from './readTail.js';

/** Shortest time between two reads of an idle stream, if the log does not hold a long poll. */
const idleReadMs = 200;

const logGap = (fromOffset: number, oldestOffset: number): Effect => ({
  type: 'log',
  level: 'warn',
  code: 'settings_records_expired',
  fields: { fromOffset, oldestOffset },
});

/** Folds a page of the `settings` stream, applies the tree, answers proposals and reads on. */
export const handleSettingsRead = (state: State, event: EventOf<'logRead'>): Effect[] => {
  const { settings } = state;
  const { tail } = settings;
  if (event.readId !== tail.readId) return [];
  tail.readId = null;
  tail.nextReadAt = event.records.length > 0 ? event.at : tail.sentAt + idleReadMs;
  const effects: Effect[] = [];
  if (event.oldestOffset > tail.from && !tail.gap) {
    tail.gap = true;
    effects.push(logGap(tail.from, event.oldestOffset));
  }
  noteTreeWall(settings, event.records);
  if (tail.gap) closeGap(settings, event);
  else acceptPage(settings, event);
  // While pages follow, the tree is older than what other VMs may already have in force.
  const isAtEnd = !tail.gap && event.records.length < pageLimit;
  if (isAtEnd) effects.push(...applySnapshot(state, settings.fold.snapshot));
  effects.push(...answerDecided(state));
  return [...effects, ...readTail(state, event.at)];
};
