/** Groups records by the ID of their job. */
export const groupByJob = <T extends { id: string }>(records: Iterable<T>): Map<string, T[]> => {
  const groups = new Map<string, T[]>();
  for (const record of records) {
    const group = groups.get(record.id);
    if (group) group.push(record);
    else groups.set(record.id, [record]);
  }
  return groups;
};
