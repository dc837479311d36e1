import { formatCell } from '../output/formatCell.js';
import { formatTable } from '../output/formatTable.js';
import { formatWall } from '../output/formatWall.js';
import { describeGaps } from '../usage/describeGaps.js';
import { formatHours } from '../usage/formatHours.js';
import type { ShownInvoice } from '../usage/ShownInvoice.js';

type Line = ShownInvoice['jobs'][number]['lines'][number];

type LineFormatters = {
  [K in Line['kind']]: (line: Extract<Line, { kind: K }>) => [string, string];
};

/** Beginning and end of each kind of line; a correction has only the moment of its record. */
const formatters: LineFormatters = {
  run: ({ fromWall, toWall }) => [formatWall(fromWall), formatWall(toWall)],
  correction: ({ wall }) => [formatWall(wall), '-'],
};

const formatLine = (jobId: string, line: Line): string[] => {
  // The kind selects the formatter that accepts this line; the look-up erases that tie.
  const formatter = formatters[line.kind] as (input: Line) => [string, string];
  const head = [jobId, line.taskId, line.kind, line.accelerators].map(formatCell);
  return [...head, ...formatter(line), formatHours(line.acceleratorMs)];
};

/** Formats an invoice with every line that its sum consists of, and with what is not known. */
export const formatInvoice = (invoice: ShownInvoice): string =>
  [
    `Invoice of workspace ${formatCell(invoice.workspace)}\nfrom ${formatWall(invoice.fromWall)} to ${formatWall(invoice.toWall)}`,
    formatTable({
      columns: ['job', 'task', 'kind', 'accelerators', 'from', 'to', 'accelerator hours'],
      rows: invoice.jobs.flatMap(({ jobId, lines }) =>
        lines.map((line) => formatLine(jobId, line)),
      ),
    }),
    `Sum: ${formatHours(invoice.acceleratorMs)} accelerator hours`,
    `Short requests answered: ${invoice.requests.answered}, busy ${formatHours(invoice.requests.busyMs)} h`,
    ...describeGaps(invoice),
  ].join('\n\n');
