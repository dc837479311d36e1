import { err, ok, type Result } from 'neverthrow';

/** Parses an `If-Match` header: the version of the subtree, -1 before its first change. */
export const parseExpectedVersion = (header: string | undefined): Result<number, string> => {
  const text = header?.replace(/^"(.*)"$/, '$1') ?? '';
  const version = Number(text);
  return /^-?\d+$/.test(text) && Number.isSafeInteger(version) && version >= -1
    ? ok(version)
    : err('If-Match: expected the current version of the subtree, -1 before its first change.');
};
