import type { Role } from '../../src/core/Role.js';
import type { ClusterVm } from './ClusterVm.js';
import { startProcess } from './startProcess.js';

const roles: readonly Role[] = ['recorder', 'scheduler', 'gateway'];

/** Starts those daemons of a VM that are not running. */
export const startVm = (vm: ClusterVm): void => {
  roles.forEach((role) => {
    if (vm.daemons[role]) return;
    vm.daemons[role] = startProcess(`${vm.id}/${role}`, `dist/src/bin/siskin-${role}.js`, [
      '--config',
      vm.configFile,
    ]);
  });
};
