import { afterAll, beforeAll, expect, test } from '@jest/globals';
import { killVm } from '../../tools/office/killVm.js';
import type { Office } from '../../tools/office/Office.js';
import type { OfficeVm } from '../../tools/office/OfficeVm.js';
import { startVm } from '../../tools/office/startVm.js';
import { waitUntil } from '../../tools/office/waitUntil.js';
import { cancelGang } from './helpers/cancelGang.js';
import { endOffice } from './helpers/endOffice.js';
import { findFalseAnswers } from './helpers/findFalseAnswers.js';
import { killDaemon } from './helpers/killDaemon.js';
import { measureGangSplit } from './helpers/measureGangSplit.js';
import { readJournals } from './helpers/readJournals.js';
import { startLoad } from './helpers/startLoad.js';
import { startTestOffice } from './helpers/startTestOffice.js';
import { submitGang } from './helpers/submitGang.js';
import { waitForJob } from './helpers/waitForJob.js';
import { waitForLead } from './helpers/waitForLead.js';
import { waitWhole } from './helpers/waitWhole.js';

// Bound of P2: `taskLeaseMs` and one renewal.
const gangBoundMs = 9000;
const gangStartLimitMs = 5000;

let office: Office;
let port: number;

beforeAll(async () => {
  office = await startTestOffice({
    zones: ['zone-a', 'zone-b'],
    vmsPerZone: 2,
    workersPerZone: 3,
    timing: { balancerDrainMs: 500 },
  });
  // The last VM is in zone-b and is not killed.
  port = office.vms.at(-1)!.httpPort;
}, 40_000);

afterAll(() => endOffice(office));

const killLeadUnderLoad = async (name: string, kill: (vm: OfficeVm) => Promise<void>) => {
  const gang = { zone: 'zone-a', tasks: 2, runMs: 60_000 };
  const jobId = await submitGang(office, port, gang);
  const before = await waitForJob(office, port, jobId, 'running', gangStartLimitMs);
  const ports = office.vms.map(({ httpPort }) => httpPort);
  const load = startLoad(office, { name, ports, everyMs: 20, workMs: 100 });
  const lead = await waitForLead(office, 'zone-a', port);
  // Some requests are at workers when the lead dies.
  await waitUntil('requests run', 3000, async () => {
    const journal = await readJournals(office);
    return journal.some((line) => 'path' in line && line.path.startsWith(`/${name}/`))
      ? true
      : undefined;
  });
  await kill(lead);
  await waitForLead(office, 'zone-a', port, lead.id);
  const after = await waitForJob(office, port, jobId, 'running', gangBoundMs);
  const requests = await load.stop();
  await cancelGang(office, port, jobId);
  startVm(lead);
  await waitWhole(office);
  return { before, after, requests, lead, journal: await readJournals(office), jobId };
};

// Guards against a take-over that restarts a running gang, repeats a request, or loses one.
test('kill -9 of the lead scheduler', async () => {
  const { before, after, requests, journal, jobId } = await killLeadUnderLoad('scheduler', (vm) =>
    killDaemon(vm, 'scheduler'),
  );
  expect(findFalseAnswers(requests, journal)).toEqual([]);
  expect(requests.filter(({ method, status }) => method === 'GET' && status !== 200)).toEqual([]);
  expect(requests.filter(({ status }) => status === null)).toEqual([]);
  expect(after.attempt).toBe(before.attempt);
  const starts = journal.filter((line) => line.kind === 'taskStarted' && line.jobId === jobId);
  expect(starts).toHaveLength(2);
  expect(measureGangSplit(journal, jobId)).toBeLessThan(gangBoundMs);
}, 40_000);

// Guards against the same when the gateway and the recorder of the lead's VM die with it.
test('kill -9 of the lead VM', async () => {
  const { before, after, requests, journal, lead, jobId } = await killLeadUnderLoad('vm', killVm);
  expect(findFalseAnswers(requests, journal)).toEqual([]);
  const elsewhere = requests.filter((request) => request.port !== lead.httpPort);
  expect(elsewhere.filter(({ method, status }) => method === 'GET' && status !== 200)).toEqual([]);
  expect(elsewhere.filter(({ status }) => status === null)).toEqual([]);
  expect(after.attempt).toBe(before.attempt);
  const starts = journal.filter((line) => line.kind === 'taskStarted' && line.jobId === jobId);
  expect(starts).toHaveLength(2);
  expect(measureGangSplit(journal, jobId)).toBeLessThan(gangBoundMs);
}, 40_000);
