import fs from 'node:fs';
import path from 'node:path';
import { buildZones } from '../cluster/buildZones.js';
import { callApi } from '../cluster/callApi.js';
import { findLead } from '../cluster/findLead.js';
import { runCli } from '../cluster/runCli.js';
import { waitUntil } from '../cluster/waitUntil.js';
import { assertCondition } from './assertCondition.js';
import type { DemoContext } from './DemoContext.js';
import type { DemoStep } from './DemoStep.js';

const guarantee = { zone: 'zone-a', workers: 2, acceleratorsPerWorker: 8, adjacency: 'rack' };

const team = {
  tokenHashes: [],
  workspaces: {
    labels: { weight: 1, maxAccelerators: 64, maxQueuedRequests: 1000, guarantees: [guarantee] },
    transects: { weight: 1, maxAccelerators: 64, maxQueuedRequests: 1000, guarantees: [guarantee] },
  },
};

const propose = async (context: DemoContext, subtree: string, content: unknown): Promise<void> => {
  const { cluster, httpPort } = context;
  const file = path.join(cluster.folder, `${subtree.replace('/', '-')}.json`);
  fs.writeFileSync(file, JSON.stringify(content));
  const args = ['settings', 'propose', subtree, file, '--expect', 'new', '--author', 'operator'];
  // Refused proposals were not run, so they can be repeated until the daemons are connected.
  await waitUntil(`${subtree} is accepted`, 10_000, async () => {
    const run = await runCli(httpPort, cluster.rootToken, args);
    assertCondition(run.code === 0, `${subtree} is accepted (${run.stdout}${run.stderr})`);
    return true;
  });
};

const isReady = async (port: number): Promise<boolean> =>
  (await callApi(port, 'GET', '/readyz')).status === 200;

const run = async (context: DemoContext): Promise<void> => {
  const { cluster, httpPort, print } = context;
  await waitUntil('the first gateway answers', 10_000, async () =>
    (await callApi(httpPort, 'GET', '/livez')).status === 200 ? true : undefined,
  );
  await propose(context, 'zones', buildZones(cluster));
  const acceptedAt = performance.now();
  await propose(context, 'teams/desk', team);
  await Promise.all(
    cluster.vms.map((vm) =>
      waitUntil(`${vm.id} is ready`, 7000, async () =>
        (await isReady(vm.httpPort)) ? true : undefined,
      ),
    ),
  );
  print(`both subtrees are active on ${cluster.vms.length} VMs within 7 s`);
  await Promise.all(
    cluster.spec.zones.map((zone) =>
      waitUntil(`${zone} has a lead`, 10_000, () => findLead(cluster, zone, httpPort)),
    ),
  );
  print(`every zone has a lead ${Math.round(performance.now() - acceptedAt)} ms later`);
};

/** Registers workers and two workspaces with guarantees through the settings tree. */
export const prepareSettings: DemoStep = {
  title: 'registering workers and two workspaces',
  run,
};
