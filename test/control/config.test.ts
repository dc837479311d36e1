import { expect, test } from '@jest/globals';
import { applyConfig } from '../../src/control/config/applyConfig.js';
import { createState } from '../../src/control/createState.js';

const bounds = { maxLeaseMs: 6000, statusKeepMs: 120_000, graceMs: 6000 };

// Guards against a configuration that reverts when its stream is read again from an older offset.
test('an older configuration version is ignored', () => {
  const state = createState({ vmId: 'vm-1', zone: 'z', cores: 1, incarnation: 'i' }, bounds);
  const apply = (version: number): void => {
    applyConfig(state, { version, queues: [], workspaces: [] });
  };
  [3, 2, 3].forEach(apply);
  expect(state.config?.version).toBe(3);
  apply(7);
  expect(state.config?.version).toBe(7);
});
