/** Rows to print under headings. */
export interface Table {
  columns: readonly string[];
  rows: readonly (readonly string[])[];
}
