import { isDeepStrictEqual } from 'node:util';

// Objects of different realms, as under jest, are never strictly equal.
const copyJson = (data: unknown): unknown => JSON.parse(JSON.stringify(data));

/** Compares two values as JSON data. */
export const isEqualJson = (one: unknown, other: unknown): boolean =>
  isDeepStrictEqual(copyJson(one), copyJson(other));
