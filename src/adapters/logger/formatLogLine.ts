import type { LogLevel } from './LogLevel.js';
import type { LogSource } from './LogSource.js';

/** Converts values that JSON would drop or reject to strings. */
const toJsonValue = (_key: string, value: unknown): unknown => {
  if (value instanceof Error) return `${value.name}: ${value.message}`;
  return typeof value === 'bigint' ? String(value) : value;
};

/** Whether JSON can hold the value as it is. */
const isPlain = (value: unknown): boolean => typeof value !== 'object' && typeof value !== 'bigint';

/** Formats one log line; a field cannot replace the keys that identify the line. */
export const formatLogLine = (
  source: LogSource,
  line: { time: Date; level: LogLevel; code: string; fields: Record<string, unknown> },
): string => {
  const { requestId, ...fields } = line.fields;
  const fixedFields = {
    time: line.time.toISOString(),
    level: line.level,
    code: line.code,
    vmId: source.vmId,
    zone: source.zone,
    role: source.role,
    ...(requestId === undefined ? {} : { requestId }),
  };
  const values = { ...fixedFields, ...fields, ...fixedFields };
  // A replacer is called for each key, which costs several times the rest of the line.
  return JSON.stringify(values, Object.values(fields).every(isPlain) ? undefined : toJsonValue);
};
