/** Periodic status of a scheduler, sent to schedulers and gateways. */
export interface HeartbeatMessage {
  type: 'heartbeat';
  zone: string;
  incarnation: string;
  lead: boolean;
  heldWorkers: number;
  draining: boolean;
  /** Version of the settings in force; -1 without settings. */
  settingsVersion: number;
}
