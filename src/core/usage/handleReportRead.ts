import { allWorkspaces } from './allWorkspaces.js';
import { answerCommand } from '../commands/answerCommand.js';
import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import { advanceRead } from '../log/advanceRead.js';
import type { State } from '../State.js';
import { buildInvoice } from './buildInvoice.js';
import { findReport } from './findReport.js';
import { readReportPage } from './readReportPage.js';
import type { UsageReport } from './UsageReport.js';
import { usageRecordSchema } from './usageRecordSchema.js';

const isFromWorkspace = (data: unknown, workspace: string): boolean =>
  typeof data === 'object' &&
  data !== null &&
  'workspace' in data &&
  (data.workspace === workspace || data.workspace === allWorkspaces);

const addPage = (report: UsageReport, event: EventOf<'logRead'>): Effect[] =>
  event.records
    .filter(({ data }) => isFromWorkspace(data, report.workspace))
    .flatMap(({ data, offset }): Effect[] => {
      const parsed = usageRecordSchema.safeParse(data);
      if (parsed.success) {
        report.records.push(parsed.data);
        return [];
      }
      return [{ type: 'log', level: 'error', code: 'usage_record_unreadable', fields: { offset } }];
    });

/** Adds a page to a report and answers with the invoice at the end of the stream. */
export const handleReportRead = (state: State, event: EventOf<'logRead'>): Effect[] => {
  const report = findReport(state.usage, event.readId);
  if (!report) return [];
  report.oldestOffset = Math.max(report.oldestOffset, event.oldestOffset);
  const effects = addPage(report, event);
  if (!advanceRead(report, event)) return [...effects, ...readReportPage(state, report)];
  state.usage.reports.delete(report);
  const { records, workspace, fromWall, toWall, oldestOffset } = report;
  const data = { ...buildInvoice(records, workspace, fromWall, toWall), oldestOffset };
  return [...effects, answerCommand(report.requester, report.requestId, { ok: true, data })];
};
