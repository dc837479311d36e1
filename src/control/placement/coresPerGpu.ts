/** Weight of one accelerator in cores when amounts of work are compared. */
export const coresPerGpu = 8;
