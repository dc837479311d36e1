import { afterAll, beforeAll, expect, test } from '@jest/globals';
import type { Office } from '../../tools/office/Office.js';
import type { OfficeVm } from '../../tools/office/OfficeVm.js';
import { startVm } from '../../tools/office/startVm.js';
import { waitUntil } from '../../tools/office/waitUntil.js';
import { cancelGang } from './helpers/cancelGang.js';
import { countOpenRequests } from './helpers/countOpenRequests.js';
import { endOffice } from './helpers/endOffice.js';
import { findFalseAnswers } from './helpers/findFalseAnswers.js';
import { isReady } from './helpers/isReady.js';
import { measureGangSplit } from './helpers/measureGangSplit.js';
import { readJournals } from './helpers/readJournals.js';
import { sendRequest } from './helpers/sendRequest.js';
import type { SentRequest } from './helpers/SentRequest.js';
import { startLoad } from './helpers/startLoad.js';
import { startTestOffice } from './helpers/startTestOffice.js';
import { submitGang } from './helpers/submitGang.js';
import { waitForEnd } from './helpers/waitForEnd.js';
import { waitForJob } from './helpers/waitForJob.js';
import { waitForLead } from './helpers/waitForLead.js';
import { waitWhole } from './helpers/waitWhole.js';

// `shutdownMs` of the design.
const shutdownLimitMs = 30_000;

let office: Office;

beforeAll(async () => {
  office = await startTestOffice({
    zones: ['zone-a'],
    vmsPerZone: 2,
    workersPerZone: 3,
    timing: { balancerDrainMs: 1500 },
  });
}, 40_000);

afterAll(() => endOffice(office));

const startSlowRequests = async (
  { httpPort }: OfficeVm,
  name: string,
  slowCount: number,
): Promise<{ ended: Promise<SentRequest[]> }> => {
  const slow = Array.from({ length: slowCount }, (_, index) =>
    sendRequest(office, {
      port: httpPort,
      path: `/${name}/${index}`,
      method: index % 2 === 0 ? 'GET' : 'POST',
      workMs: 2000,
    }),
  );
  await waitUntil('the slow requests run', 1500, async () =>
    countOpenRequests(await readJournals(office), `/${name}/`) === slowCount ? true : undefined,
  );
  return { ended: Promise.all(slow) };
};

const expectAllAnswered = async (requests: SentRequest[]): Promise<void> => {
  expect(requests.filter(({ status }) => status !== 200)).toEqual([]);
  expect(findFalseAnswers(requests, await readJournals(office))).toEqual([]);
};

// Guards against answers cut off by a restart, and against a listener that closes before the
// balancer was told.
test('SIGTERM of a gateway with slow answers', async () => {
  const vm = office.vms[0]!;
  const gateway = vm.daemons.gateway!;
  const slow = await startSlowRequests(vm, 'gateway', 16);
  gateway.signal('SIGTERM');
  await waitUntil('readiness is off', 1000, async () => ((await isReady(vm)) ? undefined : true));
  const late = await sendRequest(office, { port: vm.httpPort, path: '/gateway/late' });
  await expectAllAnswered([...(await slow.ended), late]);
  expect(await waitForEnd(gateway, shutdownLimitMs)).toBe(0);
  delete vm.daemons.gateway;
  startVm(vm);
  await waitWhole(office);
}, 50_000);

// Guards against a handover that interrupts requests, jobs or the processes' own ends.
test('SIGTERM of the lead VM under load', async () => {
  const port = office.vms[1]!.httpPort;
  const vm = await waitForLead(office, 'zone-a', port);
  const other = office.vms.find(({ id }) => id !== vm.id)!;
  const gang = { zone: 'zone-a', tasks: 2, runMs: 60_000 };
  const jobId = await submitGang(office, other.httpPort, gang);
  const before = await waitForJob(office, other.httpPort, jobId, 'running', 5000);
  const load = startLoad(office, { name: 'vm', ports: [other.httpPort], everyMs: 50, workMs: 100 });
  // The gang leaves the 8 slots of one worker to short requests.
  const slow = await startSlowRequests(vm, 'slow', 4);
  const daemons = Object.values(vm.daemons);
  daemons.forEach((daemon) => daemon.signal('SIGTERM'));
  const exits = await Promise.all(daemons.map((daemon) => waitForEnd(daemon, shutdownLimitMs)));
  vm.daemons = {};
  await waitForLead(office, 'zone-a', other.httpPort, vm.id);
  const requests = [...(await slow.ended), ...(await load.stop())];
  const after = await waitForJob(office, other.httpPort, jobId, 'running', 5000);
  await cancelGang(office, other.httpPort, jobId);
  expect(exits).toEqual([0, 0, 0]);
  await expectAllAnswered(requests);
  expect(after.attempt).toBe(before.attempt);
  expect(measureGangSplit(await readJournals(office), jobId)).toBeLessThan(9000);
}, 50_000);
