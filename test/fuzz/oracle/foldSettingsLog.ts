import type { Simulation } from '../simulation/Simulation.js';

interface Folded {
  /** Offset of the newest accepted record. */
  version: number;
  /** Offset and content of the newest accepted record of each subtree. */
  subtrees: Map<string, { offset: number; subtree: unknown }>;
  /** Author of each accepted proposal; the commands put the id of their request there. */
  accepted: Map<string, string>;
}

/** Folds the settings stream by the rule of the design page, apart from the core's own fold. */
export const foldSettingsLog = (simulation: Simulation): Folded => {
  const folded: Folded = { version: -1, subtrees: new Map(), accepted: new Map() };
  const decided = new Set<string>();
  (simulation.log.streams.get('settings') ?? []).forEach(({ offset, data }) => {
    const record = data as {
      kind: string;
      proposalId: string;
      path: string;
      expectedVersion: number;
      subtree: unknown;
      author: string;
    };
    if (record.kind !== 'proposal' || decided.has(record.proposalId)) return;
    decided.add(record.proposalId);
    const current = folded.subtrees.get(record.path)?.offset ?? -1;
    if (record.expectedVersion !== current) return;
    folded.subtrees.set(record.path, { offset, subtree: record.subtree });
    folded.accepted.set(record.proposalId, record.author);
    folded.version = offset;
  });
  return folded;
};
