import { createHash, timingSafeEqual } from "node:crypto";
import type { AdministrationToken } from "./types.ts";

/**
 * Finds the owner of a bearer token.
 *
 * Compares the hashes in constant time and with every token, so that the response time reveals
 * nothing about the accepted tokens.
 *
 * @param authorization value of the `authorization` header
 * @param tokens accepted tokens
 * @returns the token's owner, or `undefined` for a missing or unknown token
 *
 * @example
 * const owner = findTokenOwner(req.headers.authorization, settings.tokens);
 */
export function findTokenOwner(
  authorization: string | undefined,
  tokens: readonly AdministrationToken[],
): AdministrationToken | undefined {
  const token = /^Bearer +([^\s]+) *$/i.exec(authorization ?? "")?.[1];
  if (token === undefined) return undefined;
  const hash = createHash("sha256").update(token).digest();
  let found: AdministrationToken | undefined;
  for (const candidate of tokens) {
    const expected = Buffer.from(candidate.hash, "hex");
    if (expected.length === hash.length && timingSafeEqual(expected, hash)) found = candidate;
  }
  return found;
}
