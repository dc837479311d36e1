import type { Simulation } from '../simulation/Simulation.js';

interface SettingsLogState {
  /** Offset of the newest accepted record. */
  version: number;
  /** Offset and content of the newest accepted record of each subtree. */
  subtrees: Map<string, { offset: number; subtree: unknown }>;
  /** Author of each accepted proposal; each command sets the id of its request as author. */
  accepted: Map<string, string>;
}

/** Applies the records of the settings stream by the documented rule, independently of the core. */
export const foldSettingsLog = (simulation: Simulation): SettingsLogState => {
  const state: SettingsLogState = { version: -1, subtrees: new Map(), accepted: new Map() };
  const decidedProposals = new Set<string>();
  (simulation.log.streams.get('settings') ?? []).forEach(({ offset, data }) => {
    const record = data as {
      kind: string;
      proposalId: string;
      path: string;
      expectedVersion: number;
      subtree: unknown;
      author: string;
    };
    if (record.kind !== 'proposal' || decidedProposals.has(record.proposalId)) return;
    decidedProposals.add(record.proposalId);
    const current = state.subtrees.get(record.path)?.offset ?? -1;
    if (record.expectedVersion !== current) return;
    state.subtrees.set(record.path, { offset, subtree: record.subtree });
    state.accepted.set(record.proposalId, record.author);
    state.version = offset;
  });
  return state;
};
