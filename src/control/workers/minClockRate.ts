/** Lowest rate of a worker's clock relative to this VM's; the platform allows a deviation of 2 %. */
export const minClockRate = 0.98;
