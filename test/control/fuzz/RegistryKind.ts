/** Kind of a step in which the registry says something else than the workers do, or workers leave it. */
export type RegistryKind =
  | 'cutWorkerFromStore'
  | 'cutWorkerFromVms'
  | 'lapseEntries'
  | 'deleteEntries'
  | 'garbleEntries'
  | 'drainSlowly'
  | 'drainThenCut'
  | 'restartUnregistered'
  | 'restartDuringCall';
