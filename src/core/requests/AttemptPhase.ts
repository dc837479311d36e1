/** How far an attempt had come when it failed. */
export type AttemptPhase = 'notSent' | 'sent' | 'headers';
