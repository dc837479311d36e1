import { answerCommand } from '../commands/answerCommand.js';
import type { CommandHandler } from '../commands/CommandHandler.js';
import { readReportPage } from './readReportPage.js';

/** Share of the gateway's command timeout; the recorder's answer, with its reason, comes first. */
const answerTimeoutShare = 0.8;
/** Limits the memory of the records that reports hold while they are being read. */
const maxConcurrentReports = 4;

/** Starts a report of a workspace's usage; the answer follows at the end of the stream. */
export const handleReportUsage: CommandHandler<'reportUsage'> = (
  state,
  { from, requestId, at, command },
) => {
  if (state.usage.reports.size >= maxConcurrentReports) {
    const refusal = { reason: 'queue-full', outcome: 'not-run', retryAfterMs: 1000 } as const;
    return [
      answerCommand(from, requestId, { ok: false, refusal }),
      { type: 'countRefusal', reason: refusal.reason },
    ];
  }
  const { workspace, fromWall, toWall } = command;
  const report = {
    requester: from,
    requestId,
    workspace,
    fromWall,
    toWall,
    readId: null,
    nextReadAt: at,
    deadlineAt: at + state.timing.commandTimeoutMs * answerTimeoutShare,
    nextOffset: 0,
    oldestOffset: 0,
    records: [],
  };
  state.usage.reports.add(report);
  return readReportPage(state, report);
};
