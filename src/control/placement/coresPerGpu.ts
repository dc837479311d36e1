/** What one accelerator counts for, in cores, where work is weighed. */
export const coresPerGpu = 8;
