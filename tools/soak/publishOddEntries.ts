import { publishRecord } from './publishRecord.js';

const nestingDepth = 2000;

const buildNestedArray = (depth: number): unknown => {
  let value: unknown = [];
  for (let level = 0; level < depth; level += 1) value = [value];
  return value;
};

const entry = {
  service: 'svc',
  address: '127.0.0.1:1',
  zone: 'zone-a',
  state: 'ready',
  capacity: { cpu: 64_000, mem_mb: 131_072, gpu: 8 },
  labels: ['a', 'r0'],
  born: 1,
};

/** Entries of another writer among those of the workers; none names a worker that can be used. */
const oddEntries: Record<string, unknown> = {
  'odd-nested': buildNestedArray(nestingDepth),
  'odd-labels': { ...entry, labels: buildNestedArray(nestingDepth) },
  'odd-number': { ...entry, capacity: { cpu: 1e308, mem_mb: 1e308, gpu: 1e15 } },
  'odd-start-time': { ...entry, born: 1e300 },
  'odd-port': { ...entry, address: '127.0.0.1:70000' },
  'odd-host': { ...entry, address: '999.1.1.1:80' },
  'odd-unreachable': { ...entry, capacity: { cpu: 1e7, mem_mb: 1e9, gpu: 4096 } },
};

/** Publishes registry entries as a faulty writer leaves them; every soak runs beside them. */
export const publishOddEntries = async (storePort: number): Promise<void> => {
  await Promise.all(
    Object.entries(oddEntries).map(([key, value]) =>
      publishRecord(storePort, 'keyed.servers', key, value),
    ),
  );
};
