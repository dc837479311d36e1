/**
 * How a run ended, as listed by its worker. `lapsed`: its lease expired; `alone`: the other members of
 * its gang didn't start in time; `broken`: another member of its gang ended without success.
 */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';
