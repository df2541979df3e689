/**
 * Creates the error of the HTTP parser for a head that is too large, for one that has not ended.
 *
 * @returns the error, with the code of Node.js
 */
export function createHeadOverflow(): NodeJS.ErrnoException {
  return Object.assign(new Error("Head without end"), { code: "HPE_HEADER_OVERFLOW" });
}
