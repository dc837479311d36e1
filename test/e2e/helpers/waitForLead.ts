import { findLead } from '../../../tools/office/findLead.js';
import type { Office } from '../../../tools/office/Office.js';
import type { OfficeVm } from '../../../tools/office/OfficeVm.js';
import { waitUntil } from '../../../tools/office/waitUntil.js';
import { isRoutedToLead } from './isRoutedToLead.js';

// Silence of 3.5 s, one rank of 1.5 s, a probe each second and its timeout of 1.5 s: 7.5 s.
const takeOverLimitMs = 7500;

/** Waits until a VM other than the given one leads a zone; returns it. */
export const waitForLead = async (
  office: Office,
  zone: string,
  port: number,
  formerId?: string,
): Promise<OfficeVm> => {
  const { vmId } = await waitUntil(`${zone} has a lead`, takeOverLimitMs, async () => {
    const lead = await findLead(office, zone, port);
    if (!lead || lead.vmId === formerId) return undefined;
    return (await isRoutedToLead(office, zone, port)) ? lead : undefined;
  });
  return office.vms.find(({ id }) => id === vmId)!;
};
