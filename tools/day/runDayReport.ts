import fs from 'node:fs';
import { cac } from 'cac';
import { buildDayReport } from './buildDayReport.js';
import { collectTraces } from './collectTraces.js';
import { collectUse } from './collectUse.js';
import { formatUseChart } from './formatUseChart.js';
import { parseLines } from './parseLines.js';

const program = cac('npm run day-report --');
program
  .command('<log>', 'Report on a day from the log lines of its daemons')
  .option('--chart <file>', 'Also draw the use of accelerators over the day as an SVG file')
  .action(async (log: string, { chart }: { chart?: string }) => {
    const lines = parseLines(fs.readFileSync(log, 'utf8'));
    const report = buildDayReport(collectTraces(lines));
    process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
    if (chart !== undefined) fs.writeFileSync(chart, await formatUseChart(collectUse(lines)));
  });
program.help();
program.parse();
