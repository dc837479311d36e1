/** Time of all prepared events: nothing lapses or falls due between two of them. */
export const fixedTime = { at: 1_000_000, wall: 1_800_000_000_000 } as const;
