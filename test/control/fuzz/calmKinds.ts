import type { FaultAction } from './FaultAction.js';
import { submissions } from './submissions.js';

/** What callers and operators do; a day with nothing else has no trouble. */
export const calmKinds: readonly FaultAction['kind'][] = [...submissions, 'cancel', 'changeConfig'];
