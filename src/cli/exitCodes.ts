import type { ExitReason } from './ExitReason.js';

/** Exit code and meaning of each way a command can end; scripts rely on the codes. */
export const exitCodes: Readonly<Record<ExitReason, { code: number; meaning: string }>> = {
  ok: { code: 0, meaning: 'The command succeeded.' },
  'internal-error': { code: 1, meaning: 'A fault in siskin itself.' },
  usage: { code: 2, meaning: 'The command line or a file named in it is wrong.' },
  'not-run': { code: 3, meaning: 'Refused; the work was not run.' },
  'outcome-unknown': { code: 4, meaning: 'It is not known whether the work was run.' },
  unreachable: { code: 5, meaning: 'No gateway could be reached; the work was not run.' },
  'invalid-settings': {
    code: 6,
    meaning: 'The settings do not match the schema, or a guarantee cannot be placed.',
  },
  'stale-version': { code: 7, meaning: 'The subtree was changed since the expected version.' },
  'job-not-finished': { code: 8, meaning: 'The watched job failed or was cancelled.' },
  'answer-error': {
    code: 9,
    meaning: 'The worker answered the request with an HTTP error status.',
  },
};
