import type { Effect } from '../Effect.js';
import { listZoneSchedulers } from '../membership/listZoneSchedulers.js';
import { splitByBytes } from '../replication/splitByBytes.js';
import type { State } from '../State.js';
import { listUnstoredRecords } from './listUnstoredRecords.js';
import type { StoredRecord } from './StoredRecord.js';
import type { UsageCopies } from './UsageCopies.js';

const dropStored = (state: State, copies: UsageCopies): void => {
  const unstored = new Set(listUnstoredRecords(state.usage).map(({ id }) => id));
  const firstUnstored = copies.sent.findIndex(({ ids }) => ids.some((id) => unstored.has(id)));
  copies.sent.splice(0, firstUnstored === -1 ? copies.sent.length : firstUnstored);
};

const buildCopy = (copies: UsageCopies, records: StoredRecord[]) => {
  copies.sequence += 1;
  copies.sent.push({ sequence: copies.sequence, ids: records.map(({ id }) => id) });
  return { sequence: copies.sequence, records };
};

/**
 * Sends new records to the zone's other schedulers, which hold them until they are stored, because
 * the loss of a VM takes both its scheduler and its recorder. O(new and unstored records).
 */
export const sendUsageCopies = (state: State): Effect[] => {
  const { copies } = state.usage;
  if (copies.unsent.length === 0 && copies.sent.length === 0) return [];
  const peers = listZoneSchedulers(state, state.self.zone).filter(({ linked }) => linked);
  dropStored(state, copies);
  const contents =
    peers.length === 0 || copies.unsent.length === 0
      ? []
      : splitByBytes(copies.unsent).map((records) => buildCopy(copies, records));
  copies.unsent = [];
  const storedBefore = copies.sent[0]?.sequence ?? copies.sequence + 1;
  const hasAdvanced = storedBefore !== copies.storedBefore;
  copies.storedBefore = storedBefore;
  if (contents.length === 0 && hasAdvanced)
    contents.push({ sequence: copies.sequence, records: [] });
  return peers.flatMap(({ node }) =>
    contents.map((content): Effect => ({
      type: 'send',
      to: node,
      message: { type: 'usageCopy', ...content, storedBefore },
    })),
  );
};
