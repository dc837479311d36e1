/** Required proximity of the accelerators of one gang or guarantee. */
export type Adjacency = 'worker' | 'rack' | 'zone';
