/**
 * Counts the leading records that fit a limit of number and of JSON length together; at least one,
 * so that a large record is not held back for ever. Messages are refused above 1 MiB, and a
 * submitted job carries its whole payload.
 */
export const countFittingRecords = (
  records: readonly unknown[],
  maxRecords: number,
  maxLength: number,
): number => {
  let length = 0;
  const end = records.slice(0, maxRecords).findIndex((record) => {
    length += JSON.stringify(record).length;
    return length > maxLength;
  });
  if (end === -1) return Math.min(records.length, maxRecords);
  return Math.max(1, end);
};
