import type { LogStream } from '../../../src/core/log/LogStream.js';
import { simulationStartMs } from './simulationStartMs.js';
import { traceStep } from './traceStep.js';
import type { Simulation } from './Simulation.js';

/** Appends records to a stream of the fake log and returns the offset of the first. */
export const appendRecords = (
  simulation: Simulation,
  stream: LogStream,
  records: unknown[],
): number => {
  const stored = simulation.log.streams.get(stream) ?? [];
  const firstOffset = stored.length;
  records.forEach((data, index) =>
    stored.push({
      offset: firstOffset + index,
      wall: simulationStartMs + simulation.now,
      data: structuredClone(data),
    }),
  );
  simulation.log.streams.set(stream, stored);
  traceStep(simulation, 'log', { stream, firstOffset, records });
  return firstOffset;
};
