import { EXIT_CODE } from "../constants.ts";
import { CliError } from "../errors.ts";
import type { CliIo } from "../types.ts";

/** Entries by section, as read from a file. */
export interface DocumentFile {
  sections: Record<string, Record<string, unknown>>;
  /** Revision that the file was read at, when it comes from `config get`. */
  revision?: number;
}

function isMap(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/**
 * Reads a document, or a part of it, from a file.
 *
 * Accepts the output of `config get --json`, a document, or with `section` the entries of one.
 *
 * @param path file, or `-` for standard input
 * @param options file reader and section
 * @throws {CliError} `NOT_VALID` when the file has none of these forms
 */
export async function readDocumentFile(
  path: string,
  options: { io: CliIo; section?: string },
): Promise<DocumentFile> {
  const { io, section } = options;
  const refuse = (message: string, cause?: unknown) =>
    new CliError(`File "${path}" ${message}`, { exitCode: EXIT_CODE.NOT_VALID, cause });
  let input: unknown;
  try {
    input = JSON.parse(await io.readFile(path));
  } catch (err) {
    throw refuse("cannot be read as JSON", err);
  }
  if (!isMap(input)) throw refuse("is not a JSON object");
  const revision = typeof input.revision === "number" ? { revision: input.revision } : {};
  if (isMap(input.document)) return { sections: checkSections(input.document), ...revision };
  if (typeof input.section === "string" && isMap(input.entries)) {
    return { sections: { [input.section]: input.entries }, ...revision };
  }
  return { sections: section === undefined ? checkSections(input) : { [section]: input } };

  function checkSections(sections: Record<string, unknown>) {
    for (const [name, entries] of Object.entries(sections)) {
      if (!isMap(entries)) throw refuse(`has no object at "${name}"`);
    }
    return sections as Record<string, Record<string, unknown>>;
  }
}
