import { applyConfig } from '../config/applyConfig.js';
import { noteLead } from '../lead/noteLead.js';
import { applyUsage } from '../usage/applyUsage.js';
import { applyWorkerRecord } from '../workers/applyWorkerRecord.js';
import { applyCancellation } from './applyCancellation.js';
import { applyProgress } from './applyProgress.js';
import { applyStatus } from './applyStatus.js';
import { applySubmission } from './applySubmission.js';
import { dropPart } from './dropPart.js';
import type { RecordHandlerTable } from './RecordHandlerTable.js';

/** What each kind of record changes. */
export const recordHandlers: RecordHandlerTable = {
  config: (state, { config }) => applyConfig(state, config),
  submission: (state, { submission }) => applySubmission(state, submission),
  cancellation: (state, { id }, now) => applyCancellation(state, id, now),
  status: applyStatus,
  progress: applyProgress,
  lead: noteLead,
  speeds: (state, { speeds }) => {
    if (state.term) state.term.former.speeds = speeds;
    return [];
  },
  usage: applyUsage,
  dropped: dropPart,
  claim: () => [],
  worker: (state, { id, entry }, now) => applyWorkerRecord(state, id, entry, now),
  unreadable: (_state, { key }) => [
    { type: 'count', name: 'unreadable_records', reason: 'malformed' },
    { type: 'log', level: 'warn', code: 'record_unreadable', fields: { key } },
  ],
  unrelated: () => [],
};
