import { afterAll, beforeAll, expect, test } from '@jest/globals';
import { killVm } from '../../tools/office/killVm.js';
import type { Office } from '../../tools/office/Office.js';
import type { OfficeVm } from '../../tools/office/OfficeVm.js';
import { startVm } from '../../tools/office/startVm.js';
import { waitUntil } from '../../tools/office/waitUntil.js';
import { cancelGang } from './helpers/cancelGang.js';
import { countOpenRequests } from './helpers/countOpenRequests.js';
import { endOffice } from './helpers/endOffice.js';
import { findFalseAnswers } from './helpers/findFalseAnswers.js';
import { killDaemon } from './helpers/killDaemon.js';
import { measureGangSplit } from './helpers/measureGangSplit.js';
import { measurePeaks } from './helpers/measurePeaks.js';
import { readJournals } from './helpers/readJournals.js';
import type { SentRequest } from './helpers/SentRequest.js';
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

type TakeOver = Awaited<ReturnType<typeof killLeadUnderLoad>>;

const expectGangKept = ({ before, after, journal, jobId }: TakeOver): void => {
  expect(after.attempt).toBe(before.attempt);
  const starts = journal.filter((line) => line.kind === 'taskStarted' && line.jobId === jobId);
  expect(starts).toHaveLength(2);
  expect(measureGangSplit(journal, jobId)).toBeLessThan(gangBoundMs);
};

const expectAnswered = (requests: SentRequest[]): void => {
  expect(requests.filter(({ method, status }) => method === 'GET' && status !== 200)).toEqual([]);
  expect(requests.filter(({ status }) => status === null)).toEqual([]);
};

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
  const seen = await killLeadUnderLoad('scheduler', (vm) => killDaemon(vm, 'scheduler'));
  expect(findFalseAnswers(seen.requests, seen.journal)).toEqual([]);
  expectAnswered(seen.requests);
  expectGangKept(seen);
}, 40_000);

// Guards against the same when the gateway and the recorder of the lead's VM die with it.
test('kill -9 of the lead VM', async () => {
  const seen = await killLeadUnderLoad('vm', killVm);
  expect(findFalseAnswers(seen.requests, seen.journal)).toEqual([]);
  expectAnswered(seen.requests.filter(({ port: sentTo }) => sentTo !== seen.lead.httpPort));
  expectGangKept(seen);
}, 40_000);

const stopMs = 5000;

// Guards against a paused scheduler that acts on its expired leases when it resumes.
test('SIGSTOP of the lead scheduler', async () => {
  const lead = await waitForLead(office, 'zone-a', port);
  const scheduler = lead.daemons.scheduler!;
  const linesBefore = scheduler.lines.length;
  const ports = office.vms.filter(({ zone }) => zone === 'zone-a').map((vm) => vm.httpPort);
  // More than the 24 slots of the zone, so that requests are queued at the paused scheduler.
  const queued = startLoad(office, { name: 'paused', ports, everyMs: 2, workMs: 400 });
  await waitUntil('the slots are full', 3000, async () =>
    countOpenRequests(await readJournals(office), '/paused/') >= 24 ? true : undefined,
  );
  scheduler.signal('SIGSTOP');
  const stoppedAt = performance.now();
  const queuedRequests = queued.stop();
  const load = startLoad(office, { name: 'resumed', ports, everyMs: 50, workMs: 200 });
  const next = await waitForLead(office, 'zone-a', port, lead.id);
  await waitUntil('the pause is over', stopMs, () =>
    performance.now() - stoppedAt >= stopMs ? true : undefined,
  );
  scheduler.signal('SIGCONT');
  await waitUntil('the resumed scheduler drops its workers', 2000, () => {
    const lost = scheduler.lines.slice(linesBefore).filter((line) => line.includes('worker_lost'));
    return lost.length >= 3 ? true : undefined;
  });
  const requests = [...(await queuedRequests), ...(await load.stop())];
  expect((await waitForLead(office, 'zone-a', port)).id).toBe(next.id);
  const journal = await readJournals(office);
  expect(findFalseAnswers(requests, journal)).toEqual([]);
  expectAnswered(requests);
  // Section 4.1 of the design allows one request more than a worker's 8 slots.
  expect(measurePeaks(journal).filter(({ peak }) => peak > 9)).toEqual([]);
}, 40_000);
