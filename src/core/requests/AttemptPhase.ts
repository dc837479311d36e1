/**
 * Progress of an attempt when it failed. `notSent`: no byte was written; `sent`: the first byte
 * was written, so the request may have run; `headers`: the answer's headers had arrived.
 */
export type AttemptPhase = 'notSent' | 'sent' | 'headers';
