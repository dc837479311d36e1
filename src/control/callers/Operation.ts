/** Operation that a caller requests on a job or queue. */
export type Operation = 'submit' | 'show' | 'cancel';
