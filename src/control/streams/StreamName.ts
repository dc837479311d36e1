/** Streams of the store that a VM reads. */
export type StreamName = 'config' | 'journal' | 'claims' | 'workers';
