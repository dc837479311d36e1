/** Size of one zone of an office. */
export const zoneSize = { workers: 8, acceleratorsPerWorker: 8 };
