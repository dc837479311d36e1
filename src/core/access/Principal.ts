/** The identity that a token authenticates. */
export type Principal = { kind: 'root' } | { kind: 'team'; team: string };
