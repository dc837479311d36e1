/** Which faults and jobs a soak plays; see soakProfiles. */
export type SoakProfile = 'mixed' | 'drains' | 'all';
