/** Records of the `settings` stream in one read; a shorter page is the end of the stream. */
export const maxPageRecords = 100;
