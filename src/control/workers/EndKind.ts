/**
 * How a run ended, as listed by its worker. `lapsed`: its lease expired; `alone`: it waited for the
 * other members of its gang as long as the gang timeout; `broken`: another member of its gang ended.
 */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
