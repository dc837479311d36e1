/** One entry of the platform's VM list. */
export interface ListedVm {
  id: string;
  state: 'live' | 'leaving';
}
