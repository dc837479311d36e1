/** Side of a relayed connection. */
export type RelaySide = 'client' | 'target';
