import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { countFittingRecords } from './countFittingRecords.js';
import { sendOrEmit } from './sendOrEmit.js';

const maxBatchRecords = 500;
/** JSON length; a quarter of the largest message, because other encodings may be longer. */
const maxBatchCharacters = 256 * 1024;

const sendBatch = (state: State, at: number): Effect => {
  const { usage, self } = state;
  const batchId = `${self.vmId}/${self.role}/${self.incarnation}/${usage.nextBatchNumber}`;
  usage.nextBatchNumber += 1;
  const records = usage.unsentRecords.splice(
    0,
    countFittingRecords(usage.unsentRecords, maxBatchRecords, maxBatchCharacters),
  );
  usage.sentBatches.set(batchId, { records, sentAt: at });
  return sendOrEmit(state, `${self.vmId}/recorder`, { type: 'usageRecords', batchId, records });
};

/** Sends unsent records to the VM's recorder when a batch is full or due. */
export const sendOutbox = (state: State, at: number): Effect[] => {
  const { usage, timing } = state;
  if (at < usage.nextBatchAt && usage.unsentRecords.length < maxBatchRecords) return [];
  usage.nextBatchAt = at + timing.usageBatchMs;
  const effects: Effect[] = [];
  while (usage.unsentRecords.length > 0) effects.push(sendBatch(state, at));
  return effects;
};
