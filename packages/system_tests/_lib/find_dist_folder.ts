import { existsSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

/** File that exists only in the root folder of the repository. */
const ROOT_FILE = "package-lock.json";

/**
 * Finds the folder of the bundled programs, both from a source file and from a bundled file.
 *
 * @returns path of `dist`
 * @throws when no parent folder is the root of the repository
 */
export function findDistFolder(): string {
  let folder = dirname(fileURLToPath(import.meta.url));
  while (!existsSync(join(folder, ROOT_FILE))) {
    if (dirname(folder) === folder) throw new Error(`No parent folder contains "${ROOT_FILE}"`);
    folder = dirname(folder);
  }
  return join(folder, "dist");
}
