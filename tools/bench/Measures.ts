/** Named figures of one run of one policy. */
export type Measures = Record<string, number>;
