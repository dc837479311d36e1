/** Injects a fault unless another one is in progress at the process: its signals depend on their order. */
export const runExclusively = async (
  target: { faultInProgress: boolean },
  inject: () => Promise<void>,
): Promise<void> => {
  if (target.faultInProgress) return;
  target.faultInProgress = true;
  await inject();
  target.faultInProgress = false;
};
