/** Pushes an event to the loop. */
export type Push<E> = (event: E) => void;
