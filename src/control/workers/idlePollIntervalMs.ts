/** Interval of the polls of an idle worker, which only show that it can be reached. */
export const idlePollIntervalMs = 3000;
