/** A time for which the event loop of a process stood still. */
export interface LoopStall {
  time: string;
  lagMs: number;
  /** Processor time that the process used meanwhile; little of it means that it got no processor. */
  cpuMs: number;
}
