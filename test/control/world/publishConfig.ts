import type { Office } from './Office.js';
import { storeRecord } from './serveStore.js';

const buildQueues = (version: number) =>
  [
    { name: 'urgent', prefix: '/u/', priority: 0, targetMs: 250, stretch: 1.5 },
    { name: 'batch', prefix: '/b/', priority: 1, targetMs: 1000, stretch: 3 },
    // Each second version has a queue more.
    ...(version % 2 === 0
      ? [{ name: 'extra', prefix: '/x/', priority: 2, targetMs: 1000, stretch: 3 }]
      : []),
  ].map((queue) => ({ ...queue, host: 'h', service: 'svc', maxAttempts: 3, open: false }));

/** Publishes a version of the configuration, as an operator does. */
export const publishConfig = (office: Office, version: number): void => {
  const config = {
    version,
    queues: buildQueues(version),
    workspaces: [{ name: 'ws', keys: ['key'], guaranteedGpu: 16 }],
  };
  storeRecord(office, 'config', {
    key: 'config',
    value: Buffer.alloc(0),
    decoded: { type: 'config', config },
  });
};
