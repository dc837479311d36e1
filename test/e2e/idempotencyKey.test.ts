import { afterAll, beforeAll, expect, test } from '@jest/globals';
import type { Cluster } from '../../tools/cluster/Cluster.js';
import { waitUntil } from '../../tools/cluster/waitUntil.js';
import { killCluster } from './helpers/killCluster.js';
import { findInconsistentResponses } from './helpers/findInconsistentResponses.js';
import { killDaemon } from './helpers/killDaemon.js';
import { readJournals } from './helpers/readJournals.js';
import { sendRequest } from './helpers/sendRequest.js';
import type { SentRequest } from './helpers/SentRequest.js';
import { startTestCluster } from './helpers/startTestCluster.js';
import { waitForLead } from './helpers/waitForLead.js';

// Enough keys that each of the two zones is the home zone of some.
const keyCount = 12;

let cluster: Cluster;

beforeAll(async () => {
  cluster = await startTestCluster({
    zones: ['zone-a', 'zone-b'],
    vmsPerZone: 2,
    workersPerZone: 3,
  });
}, 40_000);

afterAll(() => killCluster(cluster));

const sendKeyedRequests = (name: string, vmOffset: number): Promise<SentRequest[]> =>
  Promise.all(
    Array.from({ length: keyCount }, (_, index) =>
      sendRequest(cluster, {
        port: cluster.vms[(index + vmOffset) % cluster.vms.length]!.httpPort,
        path: `/${name}/${index}`,
        method: 'POST',
        key: `${name}-${index}`,
        workMs: 600,
        timeoutMs: 12_000,
      }),
    ),
  );

const waitForStarts = (name: string): Promise<true> =>
  waitUntil('every keyed request runs', 3000, async () => {
    const starts = (await readJournals(cluster)).filter(
      (line) => line.kind === 'requestStarted' && line.path.startsWith(`/${name}/`),
    );
    return starts.length >= keyCount ? (true as const) : undefined;
  });

// Codes that are allowed for a repeat: none of them says that the request did not run.
const repeatErrorCodes = ['key-in-progress', 'key-already-used', 'outcome-unknown'];

/** Expects that each request ran once and that no response to a repeat denies that it ran. */
const expectRunOnce = async (first: SentRequest[], repeats: SentRequest[]): Promise<void> => {
  const journal = await readJournals(cluster);
  expect(findInconsistentResponses([...first, ...repeats], journal)).toEqual([]);
  const ran = new Set(journal.flatMap((line) => ('path' in line ? [line.path] : [])));
  expect(first.filter(({ path }) => !ran.has(path))).toEqual([]);
  expect(repeats.filter(({ code }) => !repeatErrorCodes.includes(code ?? ''))).toEqual([]);
};

// Guards against running a request twice when its key is sent again through another VM or zone.
test('key repeated through other VMs and zones runs once', async () => {
  const first = sendKeyedRequests('plain', 0);
  await waitForStarts('plain');
  const during = await Promise.all([1, 2, 3].map((offset) => sendKeyedRequests('plain', offset)));
  const ended = await first;
  const after = await Promise.all([0, 1, 2].map((offset) => sendKeyedRequests('plain', offset)));
  expect(ended.filter(({ status }) => status !== 200)).toEqual([]);
  await expectRunOnce(ended, [...during, ...after].flat());
}, 30_000);

// Guards against running a request twice because only the killed lead knew its key.
test('key repeated after SIGKILL of the lead runs once', async () => {
  const port = cluster.vms.at(-1)!.httpPort;
  const lead = await waitForLead(cluster, 'zone-a', port);
  const first = sendKeyedRequests('killed', 0);
  await waitForStarts('killed');
  await killDaemon(lead, 'scheduler');
  const during = await Promise.all([1, 2, 3].map((offset) => sendKeyedRequests('killed', offset)));
  await waitForLead(cluster, 'zone-a', port, lead.id);
  const after = await sendKeyedRequests('killed', 2);
  await expectRunOnce(await first, [...during.flat(), ...after]);
}, 40_000);
