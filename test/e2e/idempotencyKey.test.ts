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

// Enough that each of the two zones is home to some of the keys.
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

const sendKeys = (name: string, vmOffset: number): Promise<SentRequest[]> =>
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

const repeatCodes = ['key-in-progress', 'key-already-used', 'outcome-unknown'];

/** The repeats' own answers; a later send of the same key must not claim that nothing ran. */
const expectRunOnce = async (first: SentRequest[], repeats: SentRequest[]): Promise<void> => {
  const journal = await readJournals(cluster);
  expect(findInconsistentResponses([...first, ...repeats], journal)).toEqual([]);
  const ran = new Set(journal.flatMap((line) => ('path' in line ? [line.path] : [])));
  expect(first.filter(({ path }) => !ran.has(path))).toEqual([]);
  expect(repeats.filter(({ code }) => !repeatCodes.includes(code ?? ''))).toEqual([]);
};

// Guards against a second run of a key that returns through another VM or another zone.
test('key through another VM and zone', async () => {
  const first = sendKeys('plain', 0);
  await waitForStarts('plain');
  const during = await Promise.all([1, 2, 3].map((offset) => sendKeys('plain', offset)));
  const ended = await first;
  const after = await Promise.all([0, 1, 2].map((offset) => sendKeys('plain', offset)));
  expect(ended.filter(({ status }) => status !== 200)).toEqual([]);
  await expectRunOnce(ended, [...during, ...after].flat());
}, 30_000);

// Guards against a lead that dies with the only memory of the keys it granted.
test('key after kill -9 of the lead', async () => {
  const port = cluster.vms.at(-1)!.httpPort;
  const lead = await waitForLead(cluster, 'zone-a', port);
  const first = sendKeys('killed', 0);
  await waitForStarts('killed');
  await killDaemon(lead, 'scheduler');
  const during = await Promise.all([1, 2, 3].map((offset) => sendKeys('killed', offset)));
  await waitForLead(cluster, 'zone-a', port, lead.id);
  const after = await sendKeys('killed', 2);
  await expectRunOnce(await first, [...during.flat(), ...after]);
}, 40_000);
