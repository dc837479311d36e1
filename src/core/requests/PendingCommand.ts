/** A command passed on, whose answer is awaited. */
export interface PendingCommand {
  requestId: string;
  deadlineAt: number;
  /** Whether the command may have taken effect although no answer came. */
  changes: boolean;
}
