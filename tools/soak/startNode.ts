import { startProcess } from '../cluster/startProcess.js';
import type { ManagedProcess } from '../cluster/ManagedProcess.js';
import type { SoakNode } from './SoakNode.js';

/** Starts or restarts the daemon of an entry VM. */
export const startNode = (
  node: Pick<SoakNode, 'id' | 'settingsFile' | 'metricsPort'>,
): ManagedProcess =>
  startProcess(node.id, 'target/siskin-node.cjs', ['--metrics-port', String(node.metricsPort)], {
    SISKINHOLLOW_BOOT: node.settingsFile,
  });
