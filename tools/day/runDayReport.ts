import fs from 'node:fs';
import { cac } from 'cac';
import { buildDayReport } from './buildDayReport.js';
import { collectJobTraces } from './collectJobTraces.js';
import { computeUtilization } from './computeUtilization.js';
import { formatUtilizationChart } from './formatUtilizationChart.js';
import { parseLogLines } from './parseLogLines.js';

const program = cac('npm run day-report --');
program
  .command('<log>', 'Report on a day from the logs of its daemons')
  .option('--chart <file>', 'Also write a chart of the accelerator use as an SVG file')
  .action(async (log: string, { chart }: { chart?: string }) => {
    const lines = parseLogLines(fs.readFileSync(log, 'utf8'));
    const report = buildDayReport(collectJobTraces(lines));
    process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
    if (chart !== undefined)
      fs.writeFileSync(chart, await formatUtilizationChart(computeUtilization(lines)));
  });
program.help();
program.parse();
