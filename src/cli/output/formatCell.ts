/** Formats a value of a JSON answer for a table; control characters cannot reach the terminal. */
export const formatCell = (value: unknown): string => {
  if (value === undefined || value === null) return '-';
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  // eslint-disable-next-line no-control-regex -- control characters are what is removed
  return text.replace(/[\u0000-\u001f\u007f-\u009f]/g, ' ');
};
