/**
 * Clock that advances only while the event loop is responsive: a long turn or a pause of the process
 * counts as one tick at most. The silence of others is measured on it, because their answers may lie
 * unread in the sockets meanwhile.
 */
export interface LoopClock {
  /** Milliseconds for which the loop has been responsive. */
  read: () => number;
  /** Calls back at each tick; between two ticks the loop reads all sockets at least once. */
  onTick: (listener: () => void) => void;
}
