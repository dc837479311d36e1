/** Time of all generated events: nothing expires or becomes due between two of them. */
export const fixedTime = { at: 1_000_000, wall: 1_800_000_000_000 } as const;
