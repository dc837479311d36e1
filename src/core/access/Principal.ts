/** Whom a token stands for. */
export type Principal = { kind: 'root' } | { kind: 'team'; team: string };
