import type { FakePlatform } from '../simulation/FakePlatform.js';

const heartbeatMs = 1500;
const missedHeartbeats = 3;

/** Computes when the entry of a worker is removed that falls silent now, up to one interval after its last heartbeat. */
export const computeLapseMs = (platform: FakePlatform): number =>
  (missedHeartbeats - platform.random()) * heartbeatMs;
