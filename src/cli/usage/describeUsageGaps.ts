import { formatCell } from '../output/formatCell.js';
import { formatTable } from '../output/formatTable.js';
import { formatTimestamp } from '../output/formatTimestamp.js';
import type { ApiInvoice } from './ApiInvoice.js';

const formatSection = (title: string, columns: string[], rows: string[][]): string[] =>
  rows.length === 0 ? [] : [`${title}:\n${formatTable({ columns, rows })}`];

const describeExpiredRecords = ({ oldestOffset = 0 }: ApiInvoice): string[] =>
  oldestOffset === 0
    ? []
    : [
        `The log no longer holds records before offset ${oldestOffset}. Usage that was recorded only there is missing.`,
      ];

/** Describes the usage that an invoice does not know; no sum includes it. */
export const describeUsageGaps = (invoice: ApiInvoice): string[] => [
  ...formatSection(
    'Unknown usage, not in any sum',
    ['job', 'task', 'accelerators', 'from', 'to', 'settled by'],
    invoice.unknown.map((gap) => [
      ...[gap.jobId, gap.taskId, gap.accelerators].map(formatCell),
      formatTimestamp(gap.fromWall),
      formatTimestamp(gap.toWall),
      formatCell(gap.settledBy),
    ]),
  ),
  ...formatSection(
    'Short requests not counted',
    ['gateway', 'from', 'to'],
    invoice.unknownRequests.map((gap) => [
      formatCell(gap.gateway),
      formatTimestamp(gap.fromWall),
      formatTimestamp(gap.toWall),
    ]),
  ),
  ...formatSection(
    'Tasks without a recorded end, not in any sum',
    ['job', 'task', 'accelerators', 'started'],
    invoice.openTasks.map((open) => [
      ...[open.jobId, open.taskId, open.accelerators].map(formatCell),
      formatTimestamp(open.startedWall),
    ]),
  ),
  ...formatSection(
    'Tasks without a recorded start, not in any sum',
    ['job', 'task', 'accelerators', 'ended'],
    invoice.tasksWithoutStart.map((ended) => [
      ...[ended.jobId, ended.taskId, ended.accelerators].map(formatCell),
      formatTimestamp(ended.endedWall),
    ]),
  ),
  ...describeExpiredRecords(invoice),
];
