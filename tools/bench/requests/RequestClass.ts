/** Class of a generated request: short counter requests or long batch requests. */
export type RequestClass = 'counter' | 'batch';
