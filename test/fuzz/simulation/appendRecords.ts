import type { LogStream } from '../../../src/core/log/LogStream.js';
import { simulationStartMs } from './simulationStartMs.js';
import { traceStep } from './traceStep.js';
import type { Simulation } from './Simulation.js';

/** Adds records to a stream of the fake log and returns the offset of the first. */
export const appendRecords = (
  simulation: Simulation,
  stream: LogStream,
  records: unknown[],
): number => {
  const kept = simulation.log.streams.get(stream) ?? [];
  const firstOffset = kept.length;
  records.forEach((data, index) =>
    kept.push({
      offset: firstOffset + index,
      wall: simulationStartMs + simulation.now,
      data: structuredClone(data),
    }),
  );
  simulation.log.streams.set(stream, kept);
  traceStep(simulation, 'log', { stream, firstOffset, records });
  return firstOffset;
};
