import { buildZones } from '../../../tools/office/buildZones.js';
import { callApi } from '../../../tools/office/callApi.js';
import type { Office } from '../../../tools/office/Office.js';
import type { OfficeVm } from '../../../tools/office/OfficeVm.js';
import type { OfficeSpec } from '../../../tools/office/OfficeSpec.js';
import { proposeSubtree } from '../../../tools/office/proposeSubtree.js';
import { startOffice } from '../../../tools/office/startOffice.js';
import { waitUntil } from '../../../tools/office/waitUntil.js';
import { endOffice } from './endOffice.js';
import { waitWhole } from './waitWhole.js';

const createWorkspace = () => ({
  weight: 1,
  maxAccelerators: 64,
  maxQueuedRequests: 1000,
  guarantees: [],
});

const team = {
  tokenHashes: [],
  workspaces: { labels: createWorkspace(), transects: createWorkspace() },
};

const propose = (
  office: Office,
  path: string,
  content: unknown,
  expectedVersion = -1,
): Promise<number> =>
  waitUntil(`${path} is accepted`, 10_000, async () => {
    const { status, data } = await proposeSubtree(office, path, content, expectedVersion);
    if (status !== 200) throw new Error(`${status} ${JSON.stringify(data)}`);
    return (data as { version: number }).version;
  });

// While no zone has a lead, a gateway asks the scheduler of its own VM.
const readSettingsVersion = async (office: Office, vm: OfficeVm): Promise<number> => {
  const { status, data } = await callApi(vm.httpPort, 'GET', '/v1/status', {
    token: office.rootToken,
  });
  if (status !== 200) return -1;
  const { zones } = data as { zones: Record<string, { vmId: string; settingsVersion: number }> };
  const own = Object.values(zones).find(({ vmId }) => vmId === vm.id);
  return own?.settingsVersion ?? -1;
};

// A scheduler whose first settings already list workers takes them for workers that another lead
// may have held, and refuses keyed requests for 300 s (`key-memory-lost`).
const registerWorkers = async (office: Office): Promise<void> => {
  const empty = Object.fromEntries(office.spec.zones.map((zone) => [zone, { workers: {} }]));
  const version = await propose(office, 'zones', empty);
  await Promise.all(
    office.vms.map((vm) =>
      waitUntil(`the scheduler of ${vm.id} has the empty zones`, 10_000, async () =>
        (await readSettingsVersion(office, vm)) >= version ? true : undefined,
      ),
    ),
  );
  await propose(office, 'zones', buildZones(office), version);
};

// A worker that starts after its registration may have forgotten a holder, so the first lead would
// refuse keyed requests for 300 s (`key-memory-lost`).
const waitForWorkers = (office: Office): Promise<true[]> =>
  Promise.all(
    office.workers.map(({ id, port }) =>
      waitUntil(`${id} answers`, 10_000, async () =>
        (await callApi(port, 'GET', '/v1/lease')).status === 200 ? (true as const) : undefined,
      ),
    ),
  );

/** Starts an office with two workspaces and waits until it is whole; ends it if that fails. */
export const startTestOffice = async (spec: OfficeSpec): Promise<Office> => {
  const office = await startOffice(spec);
  try {
    await waitForWorkers(office);
    await registerWorkers(office);
    await propose(office, 'teams/desk', team);
    await waitWhole(office);
  } catch (error) {
    await endOffice(office);
    throw error;
  }
  return office;
};
