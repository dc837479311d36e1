/** Names of the streams in the platform's log. */
export type LogStream = 'settings' | 'usage' | 'jobs' | 'ownership';
