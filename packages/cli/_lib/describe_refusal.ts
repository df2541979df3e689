import type { AdministrationErrorBody } from "@jaypass/configuration";
import { describeChange } from "./describe_change.ts";

/** Formats a refusal with its faults or the change that won. */
export function describeRefusal(error: Partial<AdministrationErrorBody["error"]>): string {
  const lines = [error.message ?? "Request refused"];
  // The message already names the first faults of a document, but not on lines of their own.
  if (error.issues !== undefined && error.issues.length > 0) {
    lines[0] = "Not valid";
    lines.push(...error.issues.map(({ path, message }) => `  ${path}: ${message}`));
  }
  if (error.change !== undefined) lines.push(describeChange(error.change));
  return lines.join("\n");
}
