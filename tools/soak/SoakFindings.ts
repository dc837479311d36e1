/** What the checks of the guarantees found. */
export interface SoakFindings {
  /** Violations of guarantees. */
  broken: string[];
  /** Late starts of cancelled jobs that an injected fault explains. */
  excused: string[];
}
