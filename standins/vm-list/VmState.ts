/** State of a VM as the list shows it. */
export type VmState = 'live' | 'leaving';
