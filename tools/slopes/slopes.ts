// Measures the cost of events, messages and state at different sizes, for docs/CAPACITY.md.
// Usage: npm run slopes -- [--json FILE] [--only TEXT]
import fs from 'node:fs';
import { parseArgs } from 'node:util';
import { computeAppendRates } from './computeAppendRates.js';
import { formatResult } from './formatResult.js';
import { heapSeries } from './heapSeries.js';
import { measureHeap } from './measureHeap.js';
import { measureRenewalBytes } from './measureRenewalBytes.js';
import { measureRenewalCpu } from './measureRenewalCpu.js';
import { measureMessage } from './measureMessage.js';
import { measureSeries } from './measureSeries.js';
import { messageSamples } from './messageSamples.js';
import { timingSeries } from './timingSeries.js';

const { values } = parseArgs({
  options: { json: { type: 'string' }, only: { type: 'string', default: '' } },
});

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const printTable = (title: string, header: string[]): void =>
  print(`\n## ${title}\n\n| ${header.join(' | ')} |\n|${'---|'.repeat(header.length)}`);

const listSelected = <T>(table: Readonly<Record<string, T>>): [string, T][] =>
  Object.entries(table).filter(([name]) => name.includes(values.only));

if (!globalThis.gc) throw new Error('run node with --expose-gc');

const startedAt = performance.now();
const columns = ['series', 'operation', 'size n', 'n: median (range)', 'fit', 'quality'];
printTable('Microseconds', columns);
const times = listSelected(timingSeries).map(([name, series]) => {
  const result = measureSeries(name, series);
  print(formatResult(result));
  return result;
});
printTable('Bytes of heap', columns);
const heap = listSelected(heapSeries).map(([name, series]) => {
  const result = measureHeap(name, series);
  print(formatResult(result));
  return result;
});
printTable('Messages', ['message', 'bytes', 'at most 1 MiB', 'encode µs', 'decode µs']);
const messages = listSelected(messageSamples).map(([name, create]) => {
  const cost = measureMessage(create());
  const time = `${cost.encodeUs.toFixed(1)} | ${cost.decodeUs.toFixed(1)}`;
  print(`| ${name} | ${cost.bytes} | ${cost.withinLimit ? 'yes' : 'no'} | ${time} |`);
  return { name, ...cost };
});
printTable('Bytes of one renewal', ['tasks', 'request body', 'answer body', 'headers (estimate)']);
const leaseCalls = [0, 1, 2, 4, 8].map((tasks) => {
  const bytes = measureRenewalBytes(tasks);
  const headers = `${bytes.requestHeaders} + ${bytes.answerHeaders}`;
  print(`| ${tasks} | ${bytes.requestBody} | ${bytes.answerBody} | ${headers} |`);
  return { tasks, ...bytes };
});
printTable('Processor time of one renewal over loopback', [
  'calls a second',
  'answered',
  'failed',
  'µs',
]);
const renewals: unknown[] = [];
for (const rate of [100, 200, 300, 570]) {
  // eslint-disable-next-line no-await-in-loop -- parallel measurements would disturb each other
  const cost = await measureRenewalCpu(rate);
  print(`| ${rate} | ${cost.answered} | ${cost.failed} | ${cost.cpuUs.toFixed(0)} |`);
  renewals.push({ rate, ...cost });
}
printTable('Appends a second', ['VMs', 'usage (bound)', 'jobs', 'settings', 'total']);
const appends = [60, 90, 180].map((vms) => {
  const rates = computeAppendRates(vms);
  const shown = [rates.usage, rates.jobs, rates.settings, rates.total];
  print(`| ${vms} | ${shown.map((rate) => rate.toFixed(2)).join(' | ')} |`);
  return { vms, ...rates };
});
print(`\nnode ${process.version}, ${((performance.now() - startedAt) / 1000).toFixed(0)} s`);
if (values.json !== undefined) {
  fs.writeFileSync(
    values.json,
    JSON.stringify({ times, heap, messages, leaseCalls, renewals, appends }, null, 2),
  );
}
