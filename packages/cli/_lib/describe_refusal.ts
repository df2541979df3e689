import type { AdministrationErrorBody } from "@jaypass/configuration";
import { describeChange } from "./describe_change.ts";

/** Formats a refusal with the issues of the document or the conflicting change. */
export function describeRefusal(error: Partial<AdministrationErrorBody["error"]>): string {
  const lines = [error.message ?? "Request refused"];
  // The message already names the first issues, but not on separate lines.
  if (error.issues !== undefined && error.issues.length > 0) {
    lines[0] = "Not valid";
    lines.push(...error.issues.map(({ path, message }) => `  ${path}: ${message}`));
  }
  if (error.change !== undefined) lines.push(describeChange(error.change));
  return lines.join("\n");
}
