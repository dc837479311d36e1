/** What a caller can ask of a queue. */
export type Operation = 'submit' | 'show' | 'cancel';
