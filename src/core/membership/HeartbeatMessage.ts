/** Periodic state of a scheduler, for schedulers and gateways. */
export interface HeartbeatMessage {
  type: 'heartbeat';
  zone: string;
  incarnation: string;
  lead: boolean;
  heldWorkers: number;
  draining: boolean;
  settingsVersion: number;
}
