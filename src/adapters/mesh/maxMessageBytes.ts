/** Largest message between daemons, in bytes; a larger one closes its connection. */
export const maxMessageBytes = 1024 * 1024;
