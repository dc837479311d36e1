import { expect, test } from '@jest/globals';
import { createState } from '../../src/core/createState.js';
import { reduce } from '../../src/core/reduce.js';

const self = { vmId: 'vm-1', zone: 'zone-a', role: 'scheduler', incarnation: 'i1' } as const;

// Guards against a command that is never answered because no handler is registered for its kind.
test('command without a handler is refused as not run', () => {
  const state = createState(self, 'hash');
  const effects = reduce(state, {
    type: 'command',
    from: 'vm-2/gateway',
    requestId: 'r1',
    command: { kind: 'unknown-kind' } as never,
    at: 0,
    wall: 0,
  });
  expect(effects).toEqual([
    {
      type: 'send',
      to: 'vm-2/gateway',
      message: {
        type: 'commandResult',
        requestId: 'r1',
        result: { ok: false, refusal: { reason: 'bad-request', outcome: 'not-run' } },
      },
    },
  ]);
});
