import { foldSettingsLog } from './foldSettingsLog.js';
import type { Property } from './Property.js';

/** P8: no daemon returns to an older tree, and the results reported to operators are true. */
export const checkSettings: Property = (simulation) => {
  const { reverts, proposals } = simulation.history;
  const revert = reverts[0];
  if (revert) return `${revert.node} went from version ${revert.from} back to ${revert.to}`;
  const { accepted } = foldSettingsLog(simulation);
  const falseResult = proposals.find(({ requestId, proposalId, result }) => {
    if (result === null) return false;
    if (result.ok) return !accepted.has(proposalId);
    // Another request with the same proposal id may have succeeded through another VM.
    return result.refusal.outcome === 'not-run' && accepted.get(proposalId) === requestId;
  });
  return falseResult
    ? `${falseResult.requestId} was told ${JSON.stringify(falseResult.result)}`
    : null;
};
