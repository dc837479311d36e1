/**
 * Path of a subtree that is versioned and changed as a unit: the registered workers, or one team.
 */
export type SubtreePath = 'zones' | `teams/${string}`;
