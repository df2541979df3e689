import { existsSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** A file that stands only in the root folder of the workspace. */
const ROOT_FILE = "package-lock.json";

/**
 * Finds the folder of the bundled programs, from a source file or from a bundled one.
 *
 * @returns path of `dist`
 * @throws when no folder above holds the workspace
 */
export function findDistFolder(): string {
  let folder = dirname(fileURLToPath(import.meta.url));
  while (!existsSync(join(folder, ROOT_FILE))) {
    if (dirname(folder) === folder) throw new Error(`No folder above holds "${ROOT_FILE}"`);
    folder = dirname(folder);
  }
  return join(folder, "dist");
}
