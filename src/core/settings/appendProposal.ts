import type { Effect } from '../Effect.js';
import type { State } from '../State.js';
import type { PendingProposal } from './PendingProposal.js';

/** Command timeouts after which a proposal without a verdict is deleted. */
const forgetAfterTimeouts = 10;

/** Appends a proposal; the verdict follows when the record is read from the log. */
export const appendProposal = (
  state: State,
  proposalId: string,
  record: unknown,
  waiter: PendingProposal['waiters'][number],
): Effect[] => {
  const { settings, timing, self } = state;
  const previous = settings.pendingProposals.get(proposalId);
  const appendId = `settings/${self.incarnation}/${settings.nextAppendNumber}/proposal`;
  settings.nextAppendNumber += 1;
  settings.pendingProposals.set(proposalId, {
    proposalId,
    appendId,
    waiters: [waiter],
    appended: false,
    appendOutcomeUnknown: previous?.appendOutcomeUnknown ?? false,
    forgetAt: waiter.deadlineAt + forgetAfterTimeouts * timing.commandTimeoutMs,
  });
  return [{ type: 'appendLog', appendId, stream: 'settings', records: [record] }];
};
