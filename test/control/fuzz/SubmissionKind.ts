/** Kind of a step that submits a job. */
export type SubmissionKind =
  | 'submit'
  | 'submitGang'
  | 'submitSteps'
  | 'submitScheduled'
  | 'submitCheckpointing'
  | 'submitSpread'
  | 'submitLabelled'
  | 'submitLongRunning'
  | 'submitLong'
  | 'submitMany'
  | 'submitManyGang'
  | 'submitManyScheduled';
