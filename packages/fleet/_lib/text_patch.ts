/**
 * How a text comes about from an older one: runs of its pieces, as the first one and their number,
 * and pieces that are new.
 */
export type TextPatch = ([first: number, count: number] | string)[];

/** Part of a text that may be new in its patch; a patch of mostly new text saves little. */
const MAX_NEW_SHARE = 0.25;

/** Ends of the entries of a list in JSON, at which texts are cut into pieces. */
const SEPARATOR = "},";

/**
 * Describes a text by what it has in common with an older one. Made for large JSON documents of which
 * an entry changes, is added or removed; the cost grows with the length of both.
 *
 * @param base the older text
 * @param next the text
 * @returns the patch; undefined when it would not be much smaller than the text
 *
 * @example
 * createTextPatch('[{"a":1},{"b":1},{"c":1}]', '[{"a":1},{"b":2},{"c":1}]'); // [[0, 1], '{"b":2', [2, 1]]
 */
export function createTextPatch(base: string, next: string): TextPatch | undefined {
  const known = new Map<string, number>();
  const basePieces = base.split(SEPARATOR);
  for (const [at, piece] of basePieces.entries()) if (!known.has(piece)) known.set(piece, at);
  const patch: TextPatch = [];
  let newLength = 0;
  let run: [first: number, count: number] | undefined;
  for (const piece of next.split(SEPARATOR)) {
    if (run !== undefined && basePieces[run[0] + run[1]] === piece) {
      run[1] += 1;
      continue;
    }
    const at = known.get(piece);
    run = at === undefined ? undefined : [at, 1];
    if (run === undefined) newLength += piece.length;
    patch.push(run ?? piece);
  }
  return newLength > next.length * MAX_NEW_SHARE ? undefined : patch;
}

/**
 * Makes the text of a patch.
 *
 * @param base the text that the patch was made for
 * @param patch result of {@linkcode createTextPatch}
 * @returns the newer text
 * @throws {RangeError} when the patch names pieces that the base does not have
 *
 * @example
 * applyTextPatch('[{"a":1},{"b":1}]', [[0, 1], '{"b":2}]']); // '[{"a":1},{"b":2}]'
 */
export function applyTextPatch(base: string, patch: TextPatch): string {
  const basePieces = base.split(SEPARATOR);
  const pieces: string[] = [];
  for (const part of patch) {
    if (typeof part === "string") {
      pieces.push(part);
      continue;
    }
    const [first, count] = part;
    if (first < 0 || first + count > basePieces.length) {
      throw new RangeError(`Patch takes ${count} pieces from ${first} of ${basePieces.length}`);
    }
    for (let at = first; at < first + count; at++) pieces.push(basePieces[at] ?? "");
  }
  return pieces.join(SEPARATOR);
}
