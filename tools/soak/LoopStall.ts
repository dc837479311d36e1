/** A time for which the event loop of a stand-in stood still, as it logs it. */
export interface LoopStall {
  time: string;
  lagMs: number;
  /** Processor time that the process used meanwhile; little of it means that it got no processor. */
  cpuMs: number;
}
