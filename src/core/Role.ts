/** Kind of daemon; every entry VM runs one of each. */
export type Role = 'gateway' | 'scheduler' | 'recorder';
