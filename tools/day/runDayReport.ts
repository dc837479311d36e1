import fs from 'node:fs';
import { buildDayReport } from './buildDayReport.js';
import { parseLines } from './parseLines.js';
import { collectTraces } from './collectTraces.js';

const [file] = process.argv.slice(2);
if (file === undefined) {
  process.stderr.write('usage: npm run day-report -- LOGFILE\n');
  process.exit(2);
}
const report = buildDayReport(collectTraces(parseLines(fs.readFileSync(file, 'utf8'))));
process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
