import type { Arrival } from "../make_workload.ts";

/** Builds the text of a planned prompt: its shared prefix, followed by text unique to the prompt. */
export function buildPrompt(arrival: Arrival, bytesPerToken: number): string {
  const prefix = arrival.prefix
    ? fill(arrival.prefix.name, arrival.prefix.tokens * bytesPerToken)
    : "";
  return prefix + fill(arrival.requestId, arrival.promptTokens * bytesPerToken - prefix.length);
}

function fill(name: string, bytes: number): string {
  const unit = `text of ${name} `;
  return unit.repeat(Math.ceil(bytes / unit.length)).slice(0, bytes);
}
