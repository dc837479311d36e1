/** Values measured in one run of one policy, by name of the measure. */
export type Measures = Record<string, number>;
