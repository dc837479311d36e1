/**
 * Reads both clocks. The monotonic one counts from the machine's start, so that journals of
 * several stand-ins on one machine can be compared.
 */
export const readClock = (): { at: number; wall: number } => ({
  at: Number(process.hrtime.bigint()) / 1e6,
  wall: Date.now(),
});
