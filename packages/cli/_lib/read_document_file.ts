import { EXIT_CODE } from "../constants.ts";
import { CliError } from "../errors.ts";
import type { CliIo } from "../types.ts";

/** Entries by section, as read from a file. */
export interface DocumentFile {
  sections: Record<string, Record<string, unknown>>;
  /** Revision of the document, when the file is output of `config get`. */
  revision?: number;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/**
 * Reads a configuration document, or a part of it, from a JSON file.
 *
 * The file may contain the output of `config get --json`, a document, or, when `section` is given,
 * the entries of that section.
 *
 * @param path path of the file, or `-` for standard input
 * @param options function that reads files, and the section
 * @throws {CliError} with exit code `NOT_VALID` when the file has none of these formats
 */
export async function readDocumentFile(
  path: string,
  options: { io: CliIo; section?: string },
): Promise<DocumentFile> {
  const { io, section } = options;
  const createError = (message: string, cause?: unknown) =>
    new CliError(`File "${path}" ${message}`, { exitCode: EXIT_CODE.NOT_VALID, cause });
  let input: unknown;
  try {
    input = JSON.parse(await io.readFile(path));
  } catch (err) {
    throw createError("cannot be read as JSON", err);
  }
  if (!isRecord(input)) throw createError("is not a JSON object");
  const revision = typeof input.revision === "number" ? { revision: input.revision } : {};
  if (isRecord(input.document)) return { sections: checkSections(input.document), ...revision };
  if (typeof input.section === "string" && isRecord(input.entries)) {
    return { sections: { [input.section]: input.entries }, ...revision };
  }
  return { sections: section === undefined ? checkSections(input) : { [section]: input } };

  function checkSections(sections: Record<string, unknown>) {
    for (const [name, entries] of Object.entries(sections)) {
      if (!isRecord(entries)) throw createError(`has no object at "${name}"`);
    }
    return sections as Record<string, Record<string, unknown>>;
  }
}
