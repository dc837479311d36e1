/**
 * Time for which an ended job is kept, so that it can be shown and repeated submissions are
 * recognized. A day of a zone's jobs needs a few megabytes (23,000 jobs a day in 30 zones).
 */
export const endedJobRetentionMs = 86_400_000;
