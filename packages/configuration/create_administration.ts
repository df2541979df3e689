import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Logger, Metrics, RandomSource } from "@jaypass/kernel";
import type { ObjectClient, TableClient } from "@jaypass/store_clients";
import { AdministrationError } from "./_lib/administration_error.ts";
import { findAdministrationRoute } from "./_lib/find_administration_route.ts";
import { ConfigurationError } from "./errors.ts";
import { ADMINISTRATION_TIMEOUT_MS } from "./constants.ts";
import { findTokenOwner } from "./find_token_owner.ts";
import type { AdministrationToken, ManagedConfiguration } from "./types.ts";

/** Options of {@linkcode createAdministration}. */
export interface AdministrationOptions {
  configuration: ManagedConfiguration;
  table: TableClient;
  objects: ObjectClient;
  clock: Clock;
  random: RandomSource;
  /** Accepted tokens, from the settings. */
  tokens: readonly AdministrationToken[];
  log: Logger;
  metrics: Metrics;
}

/** Handles a request, or answers `false` when the path belongs to someone else. */
export type AdministrationHandler = (req: IncomingMessage, res: ServerResponse) => Promise<boolean>;

const PREFIX = "/admin/v1/config";

function toAdministrationError(err: unknown): AdministrationError {
  if (err instanceof AdministrationError) return err;
  if (err instanceof ConfigurationError && err.issues.length > 0) {
    return new AdministrationError("not_valid", err.message, { cause: err, issues: err.issues });
  }
  if (err instanceof TypeError || err instanceof ReferenceError) {
    return new AdministrationError("internal", "Request failed in this host", { cause: err });
  }
  // Only reads and waits throw; commits report their outcome, so nothing was changed.
  return new AdministrationError(
    "store_unavailable",
    "Store does not answer; this attempt changed nothing",
    {
      cause: err,
    },
  );
}

function send(res: ServerResponse, status: number, body: unknown): void {
  if (res.destroyed) return;
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    "cache-control": "no-store",
    // The rest of a body that was not read must not be taken for the next request.
    ...(status >= 400 && { connection: "close" }),
  });
  res.end(text);
}

/**
 * Creates the HTTP interface for reading and changing the configuration.
 *
 * Paths and bodies are described in `docs/administration.md` and typed in `operator_api.ts`.
 *
 * @param options configuration, store, tokens
 * @returns a handler for paths below `/admin/v1/config`
 *
 * @example
 * const administer = createAdministration(options);
 * createServer(async (req, res) => {
 *   if (await administer(req, res)) return;
 *   ...
 * });
 */
export function createAdministration(options: AdministrationOptions): AdministrationHandler {
  const { tokens, log, metrics } = options;

  const answer = async (req: IncomingMessage, url: URL, signal: AbortSignal) => {
    const owner = findTokenOwner(req.headers.authorization, tokens);
    if (owner === undefined) {
      throw new AdministrationError("unauthorized", "A known bearer token is needed");
    }
    const path = url.pathname.slice(PREFIX.length);
    const route = findAdministrationRoute(req.method ?? "GET", path);
    return await route({ ...options, req, query: url.searchParams, owner, signal });
  };

  return async (req, res) => {
    const [path = ""] = (req.url ?? "").split("?");
    if (path !== PREFIX && !path.startsWith(`${PREFIX}/`)) return false;
    const signal = AbortSignal.timeout(ADMINISTRATION_TIMEOUT_MS);
    try {
      const url = new URL(req.url ?? "", "http://host");
      send(res, 200, await answer(req, url, signal));
    } catch (err) {
      const { status, body, cause } = toAdministrationError(err);
      const { reason } = body.error;
      metrics.increment("administration.refused", { reason });
      if (status >= 500) log.warn({ err: cause ?? err, path, reason }, "Administration failed");
      send(res, status, body);
    }
    return true;
  };
}
