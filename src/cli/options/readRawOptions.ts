/**
 * Reads option values as typed. The parser of cac converts values that look like numbers, which
 * would change a token such as `007`.
 */
export const readRawOptions = (
  argv: readonly string[],
  names: ReadonlySet<string>,
): Record<string, string> => {
  const values: Record<string, string> = {};
  const end = argv.indexOf('--');
  (end < 0 ? argv : argv.slice(0, end)).forEach((word, index) => {
    const match = /^--([^=]+)(?:=(.*))?$/s.exec(word);
    const name = match?.[1];
    if (name === undefined || !names.has(name)) return;
    const text = match?.[2] ?? argv[index + 1];
    if (text !== undefined) values[name] = text;
  });
  return values;
};
