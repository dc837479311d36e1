/** Path of a part that is changed as one: the inventory, or one team. */
export type SubtreePath = 'zones' | `teams/${string}`;
