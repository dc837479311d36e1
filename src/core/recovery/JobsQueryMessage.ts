/** A new lead without a recent copy of the jobs asks its VM's recorder for the zone's open jobs. */
export interface JobsQueryMessage {
  type: 'jobsQuery';
  queryId: string;
  zone: string;
}
