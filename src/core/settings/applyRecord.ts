import type { LogRecord } from '../log/LogRecord.js';
import { checkProposal } from './checkProposal.js';
import type { SettingsProjection } from './SettingsProjection.js';
import type { SettingsRecord } from './SettingsRecord.js';
import { settingsRecordSchema } from './settingsRecordSchema.js';
import { translateSettingsError } from './translateSettingsError.js';

/**
 * Number of verdicts kept to detect repeated proposals. Appends are repeated within seconds; at
 * 7,100 changes a day, 200 verdicts cover about 40 minutes.
 */
const maxVerdicts = 200;

const applyProposal = (
  projection: SettingsProjection,
  record: LogRecord,
  proposal: Extract<SettingsRecord, { kind: 'proposal' }>,
): SettingsProjection => {
  const { offset, wall } = record;
  const { proposalId, path, author } = proposal;
  if (projection.verdicts.some((verdict) => verdict.proposalId === proposalId)) {
    return { ...projection, offset };
  }
  const checked = checkProposal(projection.snapshot, proposal);
  const refusal = checked.isErr() ? translateSettingsError(checked.error) : null;
  const snapshot = checked.isErr()
    ? projection.snapshot
    : {
        version: offset,
        subtreeVersions: { ...projection.snapshot.subtreeVersions, [path]: offset },
        tree: checked.value,
      };
  const verdict = { proposalId, path, author, offset, wall, refusal };
  return { offset, snapshot, verdicts: [...projection.verdicts, verdict].slice(-maxVerdicts) };
};

const applyTree = (
  projection: SettingsProjection,
  record: LogRecord,
  tree: Extract<SettingsRecord, { kind: 'tree' }>,
): SettingsProjection => {
  const isNewer =
    tree.offset > projection.offset &&
    tree.offset < record.offset &&
    tree.snapshot.version >= projection.snapshot.version;
  if (!isNewer) return { ...projection, offset: record.offset };
  const { offset, snapshot, verdicts } = tree;
  return { offset, snapshot, verdicts };
};

/**
 * Applies one record of the `settings` stream. The version of an accepted subtree is the record's
 * offset. A tree record replaces the projection only if it includes records that the reader has not
 * applied; the reader then continues after the projection's offset. An invalid record only advances
 * the offset.
 */
export const applyRecord = (
  projection: SettingsProjection,
  record: LogRecord,
): SettingsProjection => {
  if (record.offset <= projection.offset) return projection;
  const parsed = settingsRecordSchema.safeParse(record.data);
  if (!parsed.success) return { ...projection, offset: record.offset };
  return parsed.data.kind === 'tree'
    ? applyTree(projection, record, parsed.data)
    : applyProposal(projection, record, parsed.data);
};
