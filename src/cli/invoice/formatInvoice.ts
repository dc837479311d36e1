import { formatCell } from '../output/formatCell.js';
import { formatTable } from '../output/formatTable.js';
import { formatTimestamp } from '../output/formatTimestamp.js';
import { describeUsageGaps } from '../usage/describeUsageGaps.js';
import { formatHours } from '../usage/formatHours.js';
import type { ApiInvoice } from '../usage/ApiInvoice.js';

type InvoiceLine = ApiInvoice['jobs'][number]['lines'][number];

type LineFormatters = {
  [K in InvoiceLine['kind']]: (line: Extract<InvoiceLine, { kind: K }>) => [string, string];
};

/** Formats start and end of a line by its kind; a correction has only the time of its record. */
const formatters: LineFormatters = {
  run: ({ fromWall, toWall }) => [formatTimestamp(fromWall), formatTimestamp(toWall)],
  correction: ({ wall }) => [formatTimestamp(wall), '-'],
};

const formatLine = (jobId: string, line: InvoiceLine): string[] => {
  // TypeScript can't infer that the formatter found by kind accepts this line.
  const formatter = formatters[line.kind] as (input: InvoiceLine) => [string, string];
  const leadingCells = [jobId, line.taskId, line.kind, line.accelerators].map(formatCell);
  return [...leadingCells, ...formatter(line), formatHours(line.acceleratorMs)];
};

/** Formats an invoice: all lines that make up the sum, then the usage that is not known. */
export const formatInvoice = (invoice: ApiInvoice): string =>
  [
    `Invoice of workspace ${formatCell(invoice.workspace)}\nfrom ${formatTimestamp(invoice.fromWall)} to ${formatTimestamp(invoice.toWall)}`,
    formatTable({
      columns: ['job', 'task', 'kind', 'accelerators', 'from', 'to', 'accelerator hours'],
      rows: invoice.jobs.flatMap(({ jobId, lines }) =>
        lines.map((line) => formatLine(jobId, line)),
      ),
    }),
    `Sum: ${formatHours(invoice.acceleratorMs)} accelerator hours`,
    `Short requests answered: ${invoice.requests.answered}, busy ${formatHours(invoice.requests.busyMs)} h`,
    ...describeUsageGaps(invoice),
  ].join('\n\n');
