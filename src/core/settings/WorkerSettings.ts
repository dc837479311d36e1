/** One backend server as the operators registered it. */
export interface WorkerSettings {
  /** Base URL by IP number, for example `http://127.0.0.1:9101`. */
  url: string;
  rack: string;
  accelerators: number;
  /** Requests and accelerators in use together never exceed this count. */
  slots: number;
  connections: number;
  /** Set by an operator to keep new work away and to leave the worker out of the lead's majority. */
  drained: boolean;
}
