import type { Property } from './Property.js';

const boundMs = 30_000;

/** P7: a draining process exits only without open requests, or after the bound of 30 s. */
export const checkShutdown: Property = ({ history }) => {
  const early = history.exits.find(({ open, drainedMs }) => open.length > 0 && drainedMs < boundMs);
  return early
    ? `${early.node} ended after ${early.drainedMs} ms with ${early.open[0]} open`
    : null;
};
