import { expect, test } from '@jest/globals';
import { createExposition } from '../../../src/adapters/exposition/createExposition.js';

// Guards against a counter without the reason by which on-call engineers distinguish refusals.
test('counts by reason', async () => {
  const exposition = createExposition({ vm: 'vm-1', zone: 'a' });
  exposition.runners.count({ name: 'answers', reason: 'store-refused' });
  exposition.runners.count({ name: 'answers', reason: 'store-refused' });
  expect(await exposition.format()).toContain(
    'siskinhollow_answers_total{reason="store-refused",vm="vm-1",zone="a"} 2',
  );
});

// Guards against a latency that is lost or recorded in the wrong unit.
test('observes milliseconds', async () => {
  const exposition = createExposition({ vm: 'vm-1', zone: 'a' });
  exposition.runners.observe({ name: 'journal_write_ms', ms: 7 });
  const text = await exposition.format();
  expect(text).toContain('siskinhollow_journal_write_ms_bucket{le="5",vm="vm-1",zone="a"} 0');
  expect(text).toContain('siskinhollow_journal_write_ms_bucket{le="10",vm="vm-1",zone="a"} 1');
});
