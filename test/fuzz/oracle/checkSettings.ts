import { foldLog } from './foldLog.js';
import type { Property } from './Property.js';

/** P8: no daemon goes back to an older tree, and what operators are told is true. */
export const checkSettings: Property = (world) => {
  const { reverts, operators } = world.history;
  const revert = reverts[0];
  if (revert) return `${revert.node} went from version ${revert.from} back to ${revert.to}`;
  const { accepted } = foldLog(world);
  const wrong = operators.find(({ requestId, proposalId, result }) => {
    if (result === null) return false;
    if (result.ok) return !accepted.has(proposalId);
    // Another request with the same proposal id may have succeeded through another VM.
    return result.refusal.outcome === 'not-run' && accepted.get(proposalId) === requestId;
  });
  return wrong ? `${wrong.requestId} was told ${JSON.stringify(wrong.result)}` : null;
};
