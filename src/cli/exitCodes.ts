import type { ExitReason } from './ExitReason.js';

/** Exit code and description of each exit reason; scripts rely on the codes. */
export const exitCodes: Readonly<Record<ExitReason, { code: number; meaning: string }>> = {
  ok: { code: 0, meaning: 'The command succeeded.' },
  'internal-error': { code: 1, meaning: 'Internal error of siskin.' },
  usage: { code: 2, meaning: 'The command line, or a file that it names, is invalid.' },
  'not-run': { code: 3, meaning: 'The request was refused; the work was not run.' },
  'outcome-unknown': { code: 4, meaning: 'It is unknown whether the work was run.' },
  unreachable: { code: 5, meaning: 'No gateway could be reached; the work was not run.' },
  'invalid-settings': {
    code: 6,
    meaning: 'The settings do not match the schema, or a guarantee cannot be placed.',
  },
  'stale-version': { code: 7, meaning: 'The subtree has changed since the expected version.' },
  'job-not-finished': { code: 8, meaning: 'The watched job failed or was cancelled.' },
  'answer-error': {
    code: 9,
    meaning: 'The worker responded to the request with an HTTP error status.',
  },
};
