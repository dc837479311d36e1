/** Progress of an attempt when it failed. */
export type AttemptPhase = 'notSent' | 'sent' | 'headers';
