/** A route as the operator publishes it. */
const buildRoute = (name) => ({
  name,
  host: 'jobs.example',
  path_prefix: `/${name}/`,
  service: 'svc',
  priority: 1,
  max_attempts: 3,
  stretch: 3,
  target_latency_ms: 1000,
});

/** Builds a configuration with these routes to one service, and two tenants. */
const buildConfig = (version, routeNames) => ({
  version,
  routes: routeNames.map(buildRoute),
  services: [{ name: 'svc' }],
  tenants: [
    { name: 'tenant-a', api_keys: ['key-a'], guaranteed: { gpu: 4 } },
    { name: 'tenant-b', api_keys: ['key-b'], guaranteed: { gpu: 4 } },
  ],
});

export default buildConfig;
