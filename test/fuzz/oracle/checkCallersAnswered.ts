import type { Property } from './Property.js';

/** Every caller that stayed connected has a complete answer, a refusal or a reset. */
export const checkCallersAnswered: Property = ({ history }) => {
  const open = [...history.callers.values()].find(({ responses, disconnectedAt }) => {
    const last = responses.at(-1);
    return disconnectedAt === null && (!last || (last.type === 'answer' && !last.complete));
  });
  return open ? `${open.requestId} is still open` : null;
};
