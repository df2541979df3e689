import { hash } from "node:crypto";

/** Hashes a prompt for {@linkcode tokenAt}. */
export function hashPrompt(prompt: string): string {
  return hash("sha256", prompt, "hex");
}

/** Computes the token at an index of the answer to the prompt with this digest. */
export function tokenAt(digest: string, index: number): string {
  return " " + hash("sha256", `${digest}:${index}`, "hex").slice(0, 6);
}
