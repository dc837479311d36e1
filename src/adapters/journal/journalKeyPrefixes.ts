/** Key prefix of each record type; in records of a job, the job ID follows. */
export const journalKeyPrefixes = {
  submission: 's',
  cancellation: 'c',
  status: 't',
  progress: 'p',
  progressHead: 'o',
  // A slash and the number of the part follow the job ID.
  progressPart: 'q',
  // The same key, in different streams.
  lead: 'l',
  claim: 'l',
  speeds: 'w',
  usage: 'u',
} as const;
