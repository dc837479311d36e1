/** Counters and histograms of one daemon, in the Prometheus text format. */
export interface Exposition {
  runners: {
    count: (effect: { name: string; reason: string }) => void;
    observe: (effect: { name: string; ms: number }) => void;
  };
  /** Content type of the formatted text. */
  contentType: string;
  format: () => Promise<string>;
}
