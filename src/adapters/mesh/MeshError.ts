/** Errors of the mesh between daemons; `invalid` messages are decodable but break their schema. */
export type MeshError =
  | { kind: 'undecodable'; detail: string }
  | { kind: 'invalid'; detail: string }
  | { kind: 'unauthenticated'; detail: string };
