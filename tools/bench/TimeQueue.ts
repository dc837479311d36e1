/** Event queue in order of time; events of the same time keep their insertion order. */
export interface TimeQueue<T> {
  push: (at: number, item: T) => void;
  pop: () => { at: number; item: T } | null;
}
