/** Drops records with the id of an earlier record, as every reader of the log does. */
export const deduplicateRecords = <T extends { id: string }>(records: T[]): T[] => {
  const byId = new Map<string, T>();
  records.forEach((record) => {
    if (!byId.has(record.id)) byId.set(record.id, record);
  });
  return [...byId.values()];
};
