/** Streams that only the leader appends to, fenced by its token. */
export type LeaderStream = 'journal' | 'runs';
