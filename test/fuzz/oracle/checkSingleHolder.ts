import type { Property } from './Property.js';

/** No two schedulers ever hold the same worker or lead the same zone at the same time. */
export const checkSingleHolder: Property = ({ history }) => {
  const overlap = history.overlaps[0];
  return overlap
    ? `two holders of ${overlap.kind} ${overlap.id}: ${overlap.holders.join(', ')}`
    : null;
};
