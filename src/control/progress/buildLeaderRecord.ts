import type { JournalRecord } from '../journal/JournalRecord.js';
import type { Term } from '../lead/Term.js';
import type { State } from '../State.js';

const isHandingOver: Record<Term['handover'], boolean> = {
  none: false,
  announcing: true,
  offered: true,
  withdrawing: false,
};

/** Builds the heartbeat record that shows other VMs which one leads. */
export const buildLeaderRecord = (
  state: State,
  term: Term,
): Extract<JournalRecord, { type: 'lead' }> => ({
  type: 'lead',
  token: term.token,
  vmId: state.self.vmId,
  resigned: state.shutdownAt !== null || isHandingOver[term.handover],
});
