import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Notes that a proposal is in the log; the operator is answered once it has been read back. */
export const handleProposalAppended = (state: State, event: EventOf<'logAppended'>): Effect[] => {
  const { pendingProposals } = state.settings;
  const proposal = [...pendingProposals.values()].find(
    ({ appendId }) => appendId === event.appendId,
  );
  if (proposal) proposal.appended = true;
  return [];
};
