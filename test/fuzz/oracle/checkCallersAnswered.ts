import type { Property } from './Property.js';

/** After the settle time every caller that stayed has a whole answer, a refusal or a reset. */
export const checkCallersAnswered: Property = ({ history }) => {
  const open = [...history.callers.values()].find(({ responses, disconnectedAt: goneAt }) => {
    const last = responses.at(-1);
    return goneAt === null && (!last || (last.type === 'answer' && !last.complete));
  });
  return open ? `${open.requestId} is still open` : null;
};
