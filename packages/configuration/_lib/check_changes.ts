import type { ConfigurationIssue } from "../errors.ts";
import type { BackendServerConfig, ConfigDocument, SectionChange } from "../types.ts";
import { applyChanges } from "./apply_changes.ts";
import { assignPartitions } from "./assign_partitions.ts";
import { checkReferences } from "./check_references.ts";
import { entrySchemas } from "./document_schema.ts";
import { formatIssues } from "./format_issues.ts";
import { createDocumentError } from "./create_document_error.ts";

type Servers = Record<string, BackendServerConfig>;

/** Keeps the partition of a known server and assigns one to a new or moved server. */
function withPartitions(document: Readonly<ConfigDocument>, entries: Servers): Servers {
  const kept: Servers = {};
  for (const [name, server] of Object.entries(entries)) {
    const old = Object.hasOwn(document.backendServers, name)
      ? document.backendServers[name]
      : undefined;
    const isSamePool = old?.serves === server?.serves && old?.dataCentre === server?.dataCentre;
    kept[name] = server !== null && server.partition === undefined && isSamePool
      ? { ...server, partition: old?.partition }
      : server;
  }
  const merged = applyChanges(document, [{ section: "backendServers", entries: kept }]);
  const assigned = assignPartitions(merged.backendServers);
  return Object.fromEntries(
    Object.keys(entries).map((name) => [name, assigned[name] ?? null]),
  ) as Servers;
}

/**
 * Checks changes against the document that they apply to.
 *
 * Only the changed entries are checked against their schemas; the checks across sections take one
 * pass over the resulting document.
 *
 * @param document the document in force
 * @param changes entries by section; `null` removes an entry
 * @returns the changes with normalized entries and assigned partitions
 * @throws {ConfigurationError} whose `issues` name the path of each fault
 */
export function checkChanges(
  document: Readonly<ConfigDocument>,
  changes: readonly SectionChange[],
): SectionChange[] {
  const issues: ConfigurationIssue[] = [];
  const checked = changes.map(({ section, entries }) => {
    const normalized: Record<string, unknown> = {};
    for (const [name, entry] of Object.entries(entries)) {
      if (entry === null) {
        if (!Object.hasOwn(document[section], name)) {
          issues.push({ path: `${section}.${name}`, message: "There is no such entry to remove" });
        }
        normalized[name] = null;
        continue;
      }
      const result = entrySchemas[section].safeParse(entry);
      if (result.success) normalized[name] = result.data;
      else issues.push(...formatIssues(result.error.issues, [section, name]));
    }
    return { section, entries: normalized };
  });
  if (issues.length > 0) throw createDocumentError(issues);
  const complete = checked.map(({ section, entries }) => ({
    section,
    entries: section === "backendServers" ? withPartitions(document, entries as Servers) : entries,
  }));
  const references = checkReferences(applyChanges(document, complete));
  if (references.length > 0) throw createDocumentError(references);
  return complete;
}
