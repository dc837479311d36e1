/**
 * Streams of the store that a VM reads. Every VM follows `config` and `journal`; a new lead reads
 * `runs` once, and follows `workers` as long as it leads.
 */
export type StreamName = 'config' | 'journal' | 'runs' | 'claims' | 'workers';
