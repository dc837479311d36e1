/** Counters and histograms of one daemon, in the text format that scrapers read. */
export interface Exposition {
  runners: {
    count: (effect: { name: string; reason: string }) => void;
    observe: (effect: { name: string; ms: number }) => void;
  };
  /** Type of the text. */
  contentType: string;
  format: () => Promise<string>;
}
