/** Formats a settings file as the platform writes it for a daemon. */
export const formatSettings = (node: {
  id: string;
  frontPort: number;
  readinessPort: number;
  storePort: number;
}): string => `node_id = "${node.id}"
zone = "zone-a"
ip = "127.0.0.1"
[listen]
frontend = "127.0.0.1:${node.frontPort}"
readiness = "127.0.0.1:${node.readinessPort}"
[limits]
cpu_share = 0.675
cpu_cores = 1
[platform]
address = "127.0.0.1:${node.storePort}"
[bounds]
max_hold_ms = 6000
status_s = 120
grace_s = 6
`;
