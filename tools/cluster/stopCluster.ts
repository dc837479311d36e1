import fs from 'node:fs';
import type { Office } from './Office.js';
import { stopProcess } from './stopProcess.js';

/** What stopping an office showed. */
interface StopReport {
  /** Exit code or signal of each daemon that was asked to stop. */
  exits: Record<string, number | string>;
}

/** Stops the daemons with SIGTERM, then the stand-ins; kills by process id what does not end. */
export const stopOffice = async (office: Office, limitMs: number): Promise<StopReport> => {
  const daemons = office.vms.flatMap((vm) => Object.values(vm.daemons));
  const exits = await Promise.all(
    daemons.map(async (daemon) => [daemon.name, await stopProcess(daemon, 'SIGTERM', limitMs)]),
  );
  const standIns = [office.log, office.vmList, ...office.workers.map(({ process }) => process)];
  await Promise.all(standIns.map((child) => stopProcess(child, 'SIGTERM', 1000)));
  fs.rmSync(office.folder, { recursive: true, force: true });
  return { exits: Object.fromEntries(exits) as StopReport['exits'] };
};
