/** Lowest rate of a worker's clock against this VM's; the platform allows 2%. */
export const minClockRate = 0.98;
