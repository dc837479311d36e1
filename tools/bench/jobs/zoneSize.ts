/** Size of the simulated availability zone. */
export const zoneSize = { workers: 8, acceleratorsPerWorker: 8 };
