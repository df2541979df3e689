/**
 * Difference between two texts that were split into pieces. Each part is either a run of pieces
 * to copy from the older text, given as index and count, or a new piece.
 */
export type TextPatch = ([first: number, count: number] | string)[];

/** Maximum fraction of new text in a patch; above it, a patch saves too little. */
const MAX_NEW_FRACTION = 0.25;

/**
 * Longest text that a patch may make. A patch can name the whole base many times, so that a short one
 * could exhaust the memory.
 */
const MAX_TEXT_LENGTH = 64 * 1024 * 1024;

/** End of an entry in a JSON list, at which texts are split into pieces. */
const SEPARATOR = "},";

/**
 * Creates a patch from an older text to a newer one. Meant for large JSON documents in which single
 * entries are changed, added or removed; takes time linear in the length of both texts.
 *
 * @param base the older text
 * @param next the newer text
 * @returns the patch; undefined when it would not be much smaller than the newer text
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
  return newLength > next.length * MAX_NEW_FRACTION ? undefined : patch;
}

/**
 * Applies a patch.
 *
 * @param base the text that the patch was created for
 * @param patch result of {@linkcode createTextPatch}
 * @returns the newer text
 * @throws {RangeError} when the patch copies pieces that the base does not have, or makes a text of
 * more than 64 Mi characters
 *
 * @example
 * applyTextPatch('[{"a":1},{"b":1}]', [[0, 1], '{"b":2}]']); // '[{"a":1},{"b":2}]'
 */
export function applyTextPatch(base: string, patch: TextPatch): string {
  const basePieces = base.split(SEPARATOR);
  const pieces: string[] = [];
  let length = 0;
  const push = (piece: string) => {
    pieces.push(piece);
    length += piece.length + SEPARATOR.length;
    if (length > MAX_TEXT_LENGTH) throw new RangeError("Patch makes a text that is too long");
  };
  for (const part of patch) {
    if (typeof part === "string") {
      push(part);
      continue;
    }
    const [first, count] = part;
    if (first < 0 || first + count > basePieces.length) {
      throw new RangeError(
        `Patch copies ${count} pieces from index ${first}, but the base has ${basePieces.length}`,
      );
    }
    for (let at = first; at < first + count; at++) push(basePieces[at] ?? "");
  }
  return pieces.join(SEPARATOR);
}
