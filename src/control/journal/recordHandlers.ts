import { applyConfig } from '../config/applyConfig.js';
import { noteLead } from '../lead/noteLead.js';
import { applyWorkerRecord } from '../workers/applyWorkerRecord.js';
import { applyCancellation } from './applyCancellation.js';
import { applyProgress } from './applyProgress.js';
import { applySubmission } from './applySubmission.js';
import { dropPart } from './dropPart.js';
import type { RecordHandlerTable } from './RecordHandlerTable.js';

/** What each kind of record changes. */
export const recordHandlers: RecordHandlerTable = {
  config: (state, { config }) => applyConfig(state, config),
  submission: (state, { submission }) => applySubmission(state, submission),
  cancellation: (state, { id }, now) => applyCancellation(state, id, now),
  progress: (state, record, now) => {
    applyProgress(state, record.id, record.progress, record.offset);
    state.lead.lastSeenAt = now.at;
    return [];
  },
  lead: noteLead,
  speeds: (state, { speeds }) => {
    state.speeds = new Map(speeds.map((speed) => [speed.workerId, speed]));
    return [];
  },
  dropped: (state, { of, id }) => dropPart(state, of, id),
  claim: () => [],
  worker: (state, { id, entry }, now) => applyWorkerRecord(state, id, entry, now),
  unreadable: (_state, { key }) => [
    { type: 'count', name: 'unreadable_records', reason: 'malformed' },
    { type: 'log', level: 'warn', code: 'record_unreadable', fields: { key } },
  ],
  unrelated: () => [],
};
