/** Names a stored record of a job's progress; the ID of a part is that of the job, a slash and its number. */
export interface ProgressRecordName {
  recordType: 'progress' | 'progressHead' | 'progressPart';
  id: string;
}
