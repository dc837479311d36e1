/** Column names and rows of a table to print. */
export interface Table {
  columns: readonly string[];
  rows: readonly (readonly string[])[];
}
