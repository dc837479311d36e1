/** Faults that a test can switch on. */
export interface RelayFaults {
  /** Lets nothing through. */
  cut: boolean;
  /** Whether a cut keeps connections open without data, or resets them. */
  cutMode: 'freeze' | 'reset';
  /** Delay in each direction. */
  delayMs: number;
}
