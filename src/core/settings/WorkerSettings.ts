/** Settings of one backend server, as registered by an operator. */
export interface WorkerSettings {
  /** Base URL with an IP address, for example `http://127.0.0.1:9101`. */
  url: string;
  /** Name of the rack, for adjacency. */
  rack: string;
  accelerators: number;
  /** Requests and accelerators in use together never exceed this count. */
  slots: number;
  connections: number;
  /** Excludes the worker from new work and from the majority that makes a lead. */
  drained: boolean;
}
