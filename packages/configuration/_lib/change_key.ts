/** Digits of a revision in a key; zero padding makes key order and revision order the same. */
const REVISION_DIGITS = 12;

/** Returns the key of a change's row. */
export function changeKey(revision: number): string {
  return `changes/${String(revision).padStart(REVISION_DIGITS, "0")}`;
}
