import { Counter, Histogram, Registry } from 'prom-client';
import type { Exposition } from './Exposition.js';

const metricPrefix = 'siskinhollow_';
// From response times of the store up to the longest job ages of interest.
const bucketsMs = [2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 20_000, 60_000];

/** Creates the counters and histograms of a daemon; each is registered when it is first used. */
export const createExposition = (labels: { vm: string; zone: string }): Exposition => {
  const registry = new Registry();
  registry.setDefaultLabels(labels);
  const counters = new Map<string, Counter<'reason'>>();
  const histograms = new Map<string, Histogram>();
  const getCounter = (name: string): Counter<'reason'> => {
    const existing = counters.get(name);
    if (existing) return existing;
    const counter = new Counter({
      name: `${metricPrefix}${name}_total`,
      help: `Number of ${name.replaceAll('_', ' ')}, by reason`,
      labelNames: ['reason'],
      registers: [registry],
    });
    counters.set(name, counter);
    return counter;
  };
  const getHistogram = (name: string): Histogram => {
    const existing = histograms.get(name);
    if (existing) return existing;
    const histogram = new Histogram({
      name: `${metricPrefix}${name}`,
      help: `Milliseconds of ${name.replace(/_ms$/, '').replaceAll('_', ' ')}`,
      buckets: bucketsMs,
      registers: [registry],
    });
    histograms.set(name, histogram);
    return histogram;
  };
  return {
    runners: {
      count: ({ name, reason }) => getCounter(name).inc({ reason }),
      observe: ({ name, ms }) => getHistogram(name).observe(ms),
    },
    contentType: registry.contentType,
    format: () => registry.metrics(),
  };
};
