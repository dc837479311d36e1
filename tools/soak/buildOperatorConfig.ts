const queues = [
  { name: 'urgent', path_prefix: '/u/', priority: 0, stretch: 1.5, target_latency_ms: 250 },
  { name: 'batch', path_prefix: '/b/', priority: 1, stretch: 3, target_latency_ms: 1000 },
];

/** Builds a configuration as the operator publishes it: an urgent queue, a batch queue, one workspace. */
export const buildOperatorConfig = (guaranteedGpu: number): Record<string, unknown> => ({
  version: 1,
  routes: queues.map((queue) => ({
    ...queue,
    host: 'h',
    service: 'svc',
    max_attempts: 5,
    public: false,
  })),
  tenants: [{ name: 'ws', api_keys: ['key'], guaranteed: { gpu: guaranteedGpu } }],
});
