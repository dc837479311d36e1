import type { TimeQueue } from './TimeQueue.js';

interface Entry<T> {
  at: number;
  sequence: number;
  item: T;
}

const isBefore = <T>(a: Entry<T>, b: Entry<T>): boolean =>
  a.at < b.at || (a.at === b.at && a.sequence < b.sequence);

/** Creates an empty event queue, implemented as a binary heap. */
export const createTimeQueue = <T>(): TimeQueue<T> => {
  const heap: Entry<T>[] = [];
  let nextSequence = 0;
  const swap = (a: number, b: number): void => {
    [heap[a], heap[b]] = [heap[b]!, heap[a]!];
  };
  const siftDown = (): void => {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (left < heap.length && isBefore(heap[left]!, heap[least]!)) least = left;
      if (right < heap.length && isBefore(heap[right]!, heap[least]!)) least = right;
      if (least === index) return;
      swap(index, least);
      index = least;
    }
  };
  return {
    push: (at, item) => {
      heap.push({ at, sequence: nextSequence, item });
      nextSequence += 1;
      for (let index = heap.length - 1; index > 0;) {
        const parent = Math.floor((index - 1) / 2);
        if (!isBefore(heap[index]!, heap[parent]!)) return;
        swap(index, parent);
        index = parent;
      }
    },
    pop: () => {
      const first = heap[0];
      const last = heap.pop();
      if (!first || !last) return null;
      if (heap.length > 0) {
        heap[0] = last;
        siftDown();
      }
      return { at: first.at, item: first.item };
    },
  };
};
