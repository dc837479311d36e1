import type { Property } from './Property.js';

/** At no moment do two schedulers hold one worker, or lead one zone. */
export const checkSingleHolder: Property = ({ history }) => {
  const overlap = history.overlaps[0];
  return overlap
    ? `two holders of ${overlap.kind} ${overlap.id}: ${overlap.holders.join(', ')}`
    : null;
};
