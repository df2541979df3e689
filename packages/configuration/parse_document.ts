import { checkReferences } from "./_lib/check_references.ts";
import { documentSchema } from "./_lib/document_schema.ts";
import { formatIssues } from "./_lib/format_issues.ts";
import { createDocumentError } from "./_lib/create_document_error.ts";
import type { ConfigDocument } from "./types.ts";

/**
 * Validates a whole document against its schema and checks the references between its sections.
 *
 * @param input the document, for example as parsed JSON
 * @returns the valid document
 * @throws {ConfigurationError} whose `issues` contain the path of each invalid value
 *
 * @example
 * const document = parseDocument(JSON.parse(text));
 */
export function parseDocument(input: unknown): ConfigDocument {
  const result = documentSchema.safeParse(input);
  if (!result.success) throw createDocumentError(formatIssues(result.error.issues));
  const issues = checkReferences(result.data);
  if (issues.length > 0) throw createDocumentError(issues);
  return result.data;
}
