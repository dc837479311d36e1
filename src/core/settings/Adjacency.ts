/** How close the workers of one gang or guarantee must be. */
export type Adjacency = 'worker' | 'rack' | 'zone';
