import type { EventOf } from '../EventOf.js';
import { applyRecord } from './applyRecord.js';
import type { SettingsState } from './SettingsState.js';

/** Applies a page of records that follows the projection without a gap. */
export const applyPage = (settings: SettingsState, event: EventOf<'logRead'>): void => {
  settings.projection = event.records.reduce(applyRecord, settings.projection);
  settings.tail.nextOffset = event.nextOffset;
};
