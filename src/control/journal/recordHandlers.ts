import { applyConfig } from '../config/applyConfig.js';
import { applyLeaderRecord } from '../lead/applyLeaderRecord.js';
import { applyUsageRecord } from '../usage/applyUsageRecord.js';
import { applyInvalidWorker } from '../workers/applyInvalidWorker.js';
import { applyWorkerRecord } from '../workers/applyWorkerRecord.js';
import { applyCancellation } from './applyCancellation.js';
import { applyProgress } from './applyProgress.js';
import { applyProgressHead } from './applyProgressHead.js';
import { applyProgressPart } from './applyProgressPart.js';
import { applyStatus } from './applyStatus.js';
import { applySubmission } from './applySubmission.js';
import { applyTombstone } from './applyTombstone.js';
import type { RecordHandlerTable } from './RecordHandlerTable.js';

/** The handlers that apply each type of record to the state. */
export const recordHandlers: RecordHandlerTable = {
  config: (state, { config }) => applyConfig(state, config),
  submission: (state, { submission }, now) => applySubmission(state, submission, now),
  cancellation: applyCancellation,
  status: applyStatus,
  progress: applyProgress,
  progressHead: applyProgressHead,
  progressPart: applyProgressPart,
  lead: applyLeaderRecord,
  speeds: (state, { part, speeds }) => {
    state.term?.predecessor.speeds.set(part, speeds);
    return [];
  },
  usage: applyUsageRecord,
  dropped: applyTombstone,
  claim: () => [],
  worker: (state, { id, entry }, now) => applyWorkerRecord(state, id, entry, now),
  invalidWorker: (state, { id, field }) => applyInvalidWorker(state, id, field),
  unreadable: (_state, { key }) => [
    { type: 'count', name: 'unreadable_records', reason: 'malformed' },
    { type: 'log', level: 'warn', code: 'record_unreadable', fields: { key } },
  ],
  unrelated: () => [],
};
