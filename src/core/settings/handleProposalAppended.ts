import type { Effect } from '../Effect.js';
import type { EventOf } from '../EventOf.js';
import type { State } from '../State.js';

/** Marks a proposal as appended; the operator is answered when its record is read from the log. */
export const handleProposalAppended = (state: State, event: EventOf<'logAppended'>): Effect[] => {
  const { pendingProposals } = state.settings;
  const proposal = [...pendingProposals.values()].find(
    ({ appendId }) => appendId === event.appendId,
  );
  if (proposal) proposal.appended = true;
  return [];
};
