import type { Now } from '../Now.js';
import type { OpenRequest } from './OpenRequest.js';

// Time reserved for the answer to reach the caller before it stops waiting.
const answerMarginMs = 150;

/** Whether the caller will still wait for a later answer to its request. */
export const hasTimeLeft = ({ deadlineAt }: OpenRequest, now: Now): boolean =>
  now.at < deadlineAt - answerMarginMs;
