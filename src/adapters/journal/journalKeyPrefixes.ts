/** First part of the key of each kind of record; the job's id follows. */
export const journalKeyPrefixes = {
  submission: 's',
  cancellation: 'c',
  status: 't',
  progress: 'p',
  lead: 'l',
  claim: 'l',
  speeds: 'w',
  usage: 'u',
} as const;
