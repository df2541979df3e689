import { PARTITION_MAX_SERVERS } from "../constants.ts";
import type { ConfigurationIssue } from "../errors.ts";
import type { ConfigDocument, HourTimeout } from "../types.ts";

/** Lists the hours of the day that a span covers. */
function listHours(span: HourTimeout): number[] {
  const hours: number[] = [];
  const length = span.toHour > span.fromHour
    ? span.toHour - span.fromHour
    : 24 - span.fromHour + span.toHour;
  for (let n = 0; n < length; n++) hours.push((span.fromHour + n) % 24);
  return hours;
}

function checkHours(spans: readonly HourTimeout[], path: string): ConfigurationIssue[] {
  const issues: ConfigurationIssue[] = [];
  const covered = new Map<number, number>();
  spans.forEach((span, index) => {
    const spanPath = `${path}.${index}`;
    if (span.fromHour === span.toHour) {
      issues.push({ path: spanPath, message: "Span is empty; use 0 to 24 for the whole day" });
      return;
    }
    if (span.firstTokenMs > span.timeoutMs) {
      issues.push({ path: `${spanPath}.firstTokenMs`, message: `Is above "timeoutMs"` });
    }
    for (const hour of listHours(span)) {
      const other = covered.get(hour);
      if (other !== undefined) {
        issues.push({ path: spanPath, message: `Overlaps span ${other} at hour ${hour}` });
        return;
      }
      covered.set(hour, index);
    }
  });
  const gaps = Array.from({ length: 24 }, (_, hour) => hour).filter((hour) => !covered.has(hour));
  if (gaps.length > 0 && issues.length === 0) {
    issues.push({ path, message: `No timeout for hour ${gaps.join(", ")}` });
  }
  return issues;
}

function checkUnique(pairs: Iterable<[path: string, value: string]>): ConfigurationIssue[] {
  const seen = new Map<string, string>();
  const issues: ConfigurationIssue[] = [];
  for (const [path, value] of pairs) {
    const other = seen.get(value);
    if (other !== undefined) issues.push({ path, message: `Same value as "${other}"` });
    else seen.set(value, path);
  }
  return issues;
}

function checkServers(document: Readonly<ConfigDocument>): ConfigurationIssue[] {
  const issues: ConfigurationIssue[] = [];
  const sizes = new Map<string, number>();
  for (const [id, server] of Object.entries(document.backendServers)) {
    const path = `backendServers.${id}`;
    const isEngine = server.kind === "engine";
    if (!Object.hasOwn(isEngine ? document.models : document.services, server.serves)) {
      const missing = `No ${isEngine ? "model" : "service"} "${server.serves}"`;
      issues.push({ path: `${path}.serves`, message: missing });
    }
    if (!Object.hasOwn(document.dataCentres, server.dataCentre)) {
      issues.push({
        path: `${path}.dataCentre`,
        message: `No data centre "${server.dataCentre}"`,
      });
    }
    if (server.coldLimit > server.warmLimit) {
      issues.push({ path: `${path}.coldLimit`, message: `Is above "warmLimit"` });
    }
    if (isEngine !== (server.memoryTokens > 0)) {
      const rule = isEngine ? "Must be above 0 for an engine" : "Must be 0 for a plain service";
      issues.push({ path: `${path}.memoryTokens`, message: rule });
    }
    if (server.partition !== undefined) {
      const key = `${server.kind} ${server.serves}@${server.dataCentre}#${server.partition}`;
      const size = (sizes.get(key) ?? 0) + 1;
      sizes.set(key, size);
      if (size === PARTITION_MAX_SERVERS + 1) {
        const message = `Partition has more than ${PARTITION_MAX_SERVERS} servers`;
        issues.push({ path: `${path}.partition`, message });
      }
    }
  }
  return issues;
}

/**
 * Checks the rules of a document that involve several entries or sections.
 *
 * Takes a single pass over the entries, so that it can run for each change of a large document.
 *
 * @param document a document whose entries are valid by themselves
 * @returns the issues found; empty for a valid document
 */
export function checkReferences(document: Readonly<ConfigDocument>): ConfigurationIssue[] {
  const issues = checkServers(document);
  const servers = Object.entries(document.backendServers);
  // Two entries with the URL of one server would allow it twice its concurrent requests.
  issues.push(
    ...checkUnique(
      servers.map(([id, { url }]) => [`backendServers.${id}.url`, url.replace(/\/+$/, "")]),
    ),
  );
  for (const name of Object.keys(document.models)) {
    // A pool id contains only the name of the model or service, so the two must not have the same.
    if (Object.hasOwn(document.services, name)) {
      issues.push({ path: `services.${name}`, message: `A model has the same name` });
    }
  }
  const workspaces = Object.entries(document.workspaces);
  issues.push(
    ...checkUnique(workspaces.map(([id, { keyHash }]) => [`workspaces.${id}.keyHash`, keyHash])),
  );
  for (const [id, workspace] of workspaces) {
    workspace.models.forEach((model, index) => {
      if (Object.hasOwn(document.models, model)) return;
      issues.push({ path: `workspaces.${id}.models.${index}`, message: `No model "${model}"` });
    });
    workspace.services.forEach((service, index) => {
      if (Object.hasOwn(document.services, service)) return;
      issues.push({
        path: `workspaces.${id}.services.${index}`,
        message: `No service "${service}"`,
      });
    });
  }
  for (const [id, { oneWayMs }] of Object.entries(document.dataCentres)) {
    for (const other of Object.keys(oneWayMs)) {
      if (Object.hasOwn(document.dataCentres, other)) continue;
      issues.push({
        path: `dataCentres.${id}.oneWayMs.${other}`,
        message: `No data centre "${other}"`,
      });
    }
  }
  for (const [kind, { hours }] of Object.entries(document.timeouts)) {
    issues.push(...checkHours(hours, `timeouts.${kind}.hours`));
  }
  return issues;
}
