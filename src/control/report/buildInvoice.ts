import type { UsageTotal } from '../usage/UsageTotal.js';
import { listRecords } from './listRecords.js';
import type { StoreContent } from './StoreContent.js';

interface InvoiceLine {
  workspace: string;
  runs: number;
  gpuHours: number;
  coreHours: number;
  /** Runs whose end was not observed. */
  unknownRuns: number;
  /** Upper bound on use beyond `gpuHours`; not to be billed without the workers' own journals. */
  unknownGpuHours: number;
}

const msPerHour = 3_600_000;
// Decimal places of printed hours: 0.001 h is 3.6 s.
const hourDigits = 3;

const toHours = (ms: number): number => Number((ms / msPerHour).toFixed(hourDigits));

const sumBy = (totals: readonly UsageTotal[], get: (total: UsageTotal) => number): number =>
  totals.reduce((sum, total) => sum + get(total), 0);

/** Builds the invoice lines of a period from stored totals; `period` is a date prefix such as 2026-12. */
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
