/** Number of digits of a revision in a key; zero padding makes key order the revision order. */
const REVISION_DIGITS = 12;

/** Returns the key of the row that stores the change of a revision. */
export function changeKey(revision: number): string {
  return `changes/${String(revision).padStart(REVISION_DIGITS, "0")}`;
}
