import { expect, test } from '@jest/globals';
import { createEventLoop } from '../../src/adapters/loop/createEventLoop.js';

interface TestEvent {
  type: 'good' | 'bad' | 'badEffect';
}
type TestEffect = { type: 'work' } | { type: 'fail' };

const createLoop = (failures: string[], done: string[]) => {
  const loop = createEventLoop<TestEvent, TestEffect>(
    (event) => {
      if (event.type === 'bad') throw new Error('unexpected');
      return event.type === 'badEffect' ? [{ type: 'fail' }, { type: 'work' }] : [{ type: 'work' }];
    },
    { onError: (_error, type) => failures.push(type) },
  );
  loop.attach({
    work: () => done.push('work'),
    fail: () => {
      throw new Error('unexpected');
    },
  });
  return loop;
};

// Guards against one unexpected error that ends the process.
test('loop goes on after a handler that throws', () => {
  const failures: string[] = [];
  const done: string[] = [];
  const loop = createLoop(failures, done);
  loop.push({ type: 'bad' });
  loop.push({ type: 'good' });
  expect(failures).toEqual(['bad']);
  expect(done).toEqual(['work']);
});

// Guards against one failing effect that swallows those after it.
test('effects after a failing one are run', () => {
  const failures: string[] = [];
  const done: string[] = [];
  createLoop(failures, done).push({ type: 'badEffect' });
  expect(failures).toEqual(['fail']);
  expect(done).toEqual(['work']);
});
