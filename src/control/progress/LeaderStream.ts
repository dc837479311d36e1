/** Streams that only the lead writes to, each under its fencing token. */
export type LeaderStream = 'journal' | 'runs';
