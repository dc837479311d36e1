/**
 * An ended job is kept this long, in milliseconds, for questions and repeated submissions. One day
 * of a zone's jobs (23,000 a day in 30 zones) needs a few megabytes.
 */
export const endedJobRetentionMs = 86_400_000;
