/** The process that writes a log line. */
export interface LogSource {
  vmId: string;
  zone: string;
  role: string;
}
