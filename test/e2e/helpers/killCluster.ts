import fs from 'node:fs';
import type { Office } from '../../../tools/office/Office.js';
import { listAllProcesses } from './listAllProcesses.js';

/** Ends every process of an office by its own id, also one that is stopped by SIGSTOP. */
export const endOffice = async (office: Office | undefined): Promise<void> => {
  if (!office) return;
  const processes = listAllProcesses(office);
  processes.forEach((child) => child.signal('SIGKILL'));
  await Promise.all(processes.map(({ ended }) => ended));
  fs.rmSync(office.folder, { recursive: true, force: true });
};
