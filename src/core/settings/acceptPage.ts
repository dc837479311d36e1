import type { EventOf } from '../EventOf.js';
import { acceptRecord } from './acceptRecord.js';
import type { SettingsState } from './SettingsState.js';

/** Folds a page of records that follows the fold without a gap. */
export const acceptPage = (settings: SettingsState, event: EventOf<'logRead'>): void => {
  settings.fold = event.records.reduce(acceptRecord, settings.fold);
  settings.tail.from = event.nextOffset;
};
