import { checkReferences } from "./_lib/check_references.ts";
import { documentSchema } from "./_lib/document_schema.ts";
import { formatIssues } from "./_lib/format_issues.ts";
import { createDocumentError } from "./_lib/create_document_error.ts";
import type { ConfigDocument } from "./types.ts";

/**
 * Checks a whole document against the schema and across its sections.
 *
 * @param input the document, for example parsed JSON
 * @returns the checked document
 * @throws {ConfigurationError} whose `issues` name the path of each fault
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
