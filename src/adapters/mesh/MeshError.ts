/** Errors of the mesh between daemons. */
export type MeshError =
  | { kind: 'undecodable'; detail: string }
  | { kind: 'invalid'; detail: string }
  | { kind: 'unauthenticated'; detail: string };
