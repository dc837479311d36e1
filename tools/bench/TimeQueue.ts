/** Events of a run, taken in order of time; events of one time keep the order of their addition. */
export interface TimeQueue<T> {
  push: (at: number, item: T) => void;
  pop: () => { at: number; item: T } | null;
}
