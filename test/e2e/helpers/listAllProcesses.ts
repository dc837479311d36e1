import type { ManagedProcess } from '../../../tools/office/ManagedProcess.js';
import type { Office } from '../../../tools/office/Office.js';

/** Lists the processes of an office that were not ended by a test. */
export const listAllProcesses = (office: Office): ManagedProcess[] => [
  ...office.vms.flatMap((vm) => Object.values(vm.daemons)),
  office.log,
  office.vmList,
  ...office.workers.map(({ process }) => process),
];
