import type { LogStream } from '../../../src/core/log/LogStream.js';
import { epochWall } from './epochWall.js';
import { traceStep } from './traceStep.js';
import type { World } from './World.js';

/** Adds records to a stream of the fake log and returns the offset of the first. */
export const appendRecords = (world: World, stream: LogStream, records: unknown[]): number => {
  const kept = world.log.streams.get(stream) ?? [];
  const firstOffset = kept.length;
  records.forEach((data, index) =>
    kept.push({
      offset: firstOffset + index,
      wall: epochWall + world.now,
      data: structuredClone(data),
    }),
  );
  world.log.streams.set(stream, kept);
  traceStep(world, 'log', { stream, firstOffset, records });
  return firstOffset;
};
