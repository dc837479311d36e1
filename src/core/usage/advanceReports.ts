import { answerCommand } from '../commands/answerCommand.js';
import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import { readReportPage } from './readReportPage.js';

/** Repeats failed reads of reports and refuses reports after their deadline. */
export const advanceReports = (state: State, at: number): Effect[] =>
  [...state.usage.reports].flatMap((report): Effect[] => {
    if (at >= report.deadlineAt) {
      state.usage.reports.delete(report);
      const refusal = { reason: 'log-unavailable', outcome: 'not-run' } as const;
      return [
        answerCommand(report.requester, report.requestId, { ok: false, refusal }),
        { type: 'countRefusal', reason: refusal.reason },
      ];
    }
    return report.readId === null && at >= report.nextReadAt ? readReportPage(state, report) : [];
  });
