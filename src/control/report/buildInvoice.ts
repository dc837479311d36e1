import type { UsageTotal } from '../usage/UsageTotal.js';
import { listRecords } from './listRecords.js';
import type { StoreContent } from './StoreContent.js';

interface InvoiceLine {
  workspace: string;
  runs: number;
  gpuHours: number;
  coreHours: number;
  /** Runs whose end nobody saw. */
  unknownRuns: number;
  /** Used at most, besides `gpuHours`; not to be billed without the workers' own journals. */
  unknownGpuHours: number;
}

const msPerHour = 3_600_000;
// Digits of a printed number of hours: a thousandth is 3.6 s.
const hourDigits = 3;

const toHours = (ms: number): number => Number((ms / msPerHour).toFixed(hourDigits));

const sumBy = (totals: readonly UsageTotal[], get: (total: UsageTotal) => number): number =>
  totals.reduce((sum, total) => sum + get(total), 0);

/** Builds the invoice lines of a period from the totals in the store; `period` begins the days. */
export const buildInvoice = (content: StoreContent, period: string): InvoiceLine[] => {
  const totals = listRecords(content.runs, 'usage')
    .map(({ total }) => total)
    .filter(({ day }) => day.startsWith(period));
  const workspaces = [...new Set(totals.map(({ workspace }) => workspace))].sort();
  return workspaces.map((workspace) => {
    const workspaceTotals = totals.filter((total) => total.workspace === workspace);
    return {
      workspace,
      runs: sumBy(workspaceTotals, ({ runs }) => runs),
      gpuHours: toHours(sumBy(workspaceTotals, ({ gpuMs }) => gpuMs)),
      coreHours: toHours(sumBy(workspaceTotals, ({ cpuMs }) => cpuMs)),
      unknownRuns: sumBy(workspaceTotals, ({ unknownRuns }) => unknownRuns),
      unknownGpuHours: toHours(sumBy(workspaceTotals, ({ unknownGpuMs }) => unknownGpuMs)),
    };
  });
};
