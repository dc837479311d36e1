/**
 * Reads both clocks. The monotonic one starts at the boot of the machine, so the journals of stand-ins on
 * one machine can be compared.
 */
export const readClock = (): { at: number; wall: number } => ({
  at: Number(process.hrtime.bigint()) / 1e6,
  wall: Date.now(),
});
