/** Streams that the system keeps in the platform's log. */
export type LogStream = 'settings' | 'usage' | 'jobs' | 'ownership';
