import { z } from 'zod';

const millisecondsPerUnit: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1000,
  m: 60_000,
  h: 3_600_000,
};

/** Describes a valid duration; converts a value with a unit, such as "5s", to milliseconds. */
const describeDuration = (input: unknown): string => {
  const text = 'expected a whole number of milliseconds greater than 0, without quotes or unit';
  const match = typeof input === 'string' ? /^(\d+(?:\.\d+)?)\s*(ms|s|m|h)$/.exec(input) : null;
  return match
    ? `${text}: ${Number(match[1]) * (millisecondsPerUnit[match[2] ?? 'ms'] ?? 1)}`
    : text;
};

/** Duration in milliseconds. */
export const durationSchema = z
  .int({ error: (issue) => describeDuration(issue.input) })
  .positive({ error: (issue) => describeDuration(issue.input) });
