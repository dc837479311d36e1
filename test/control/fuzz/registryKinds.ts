import type { RegistryKind } from './RegistryKind.js';

/** Steps in which the registry says something else than the workers do, or workers leave it. */
export const registryKinds: readonly RegistryKind[] = [
  'cutWorkerFromStore',
  'cutWorkerFromVms',
  'lapseEntries',
  'deleteEntries',
  'garbleEntries',
  'drainSlowly',
  'drainThenCut',
  'restartUnregistered',
  'restartDuringCall',
];
