/** Greatest number of `settings` records in one read; a shorter page is the last one. */
export const maxPageRecords = 100;
