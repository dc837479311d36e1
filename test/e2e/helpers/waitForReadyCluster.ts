import { findLead } from '../../../tools/office/findLead.js';
import type { Office } from '../../../tools/office/Office.js';
import { waitUntil } from '../../../tools/office/waitUntil.js';
import { isReady } from './isReady.js';
import { isRoutedToLead } from './isRoutedToLead.js';

// Start of the processes, a lease of 3.5 s to wait for, and the rank's delay, with a margin.
const wholeLimitMs = 15_000;

/** Waits until every gateway is ready and each sees a lead with all workers in every zone. */
export const waitWhole = async (office: Office): Promise<void> => {
  const { zones, workersPerZone } = office.spec;
  await Promise.all(
    office.vms.map((vm) =>
      waitUntil(`${vm.id} is ready and sees every lead`, wholeLimitMs, async () => {
        if (!(await isReady(vm))) return undefined;
        const leads = await Promise.all(zones.map((zone) => findLead(office, zone, vm.httpPort)));
        if (!leads.every((lead) => lead?.heldWorkers === workersPerZone)) return undefined;
        const routed = await Promise.all(
          zones.map((zone) => isRoutedToLead(office, zone, vm.httpPort)),
        );
        return routed.every(Boolean) ? true : undefined;
      }),
    ),
  );
};
