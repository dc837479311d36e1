/** Builds the ID of a part of a job's progress. */
export const buildPartId = (jobId: string, part: number): string => `${jobId}/${part}`;
