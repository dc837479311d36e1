/** Query of a new lead without a recent copy to its recorder for the open jobs of its zone. */
export interface JobsQueryMessage {
  type: 'jobsQuery';
  queryId: string;
  zone: string;
}
