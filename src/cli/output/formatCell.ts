/** Formats a JSON value for a table. Replaces control characters, which a terminal interprets. */
export const formatCell = (value: unknown): string => {
  if (value === undefined || value === null) return '-';
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  // eslint-disable-next-line no-control-regex -- the pattern matches the characters to replace
  return text.replace(/[\u0000-\u001f\u007f-\u009f]/g, ' ');
};
