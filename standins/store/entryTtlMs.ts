/** Time after the last heartbeat at which a registry entry expires: three heartbeat intervals of 1.5 s. */
export const entryTtlMs = 4500;
