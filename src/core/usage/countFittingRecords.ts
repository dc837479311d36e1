/**
 * Counts the leading records that fit both a number and a total JSON length; at least one, so that
 * a large record is sent at all. The length matters because messages above 1 MiB are refused and a
 * submitted job contains its whole payload.
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
