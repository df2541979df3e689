import { GRANT_DISPATCH_WINDOW_MS } from "../constants.ts";
import type { EndedGrant, HeldGrant, Report } from "../messages.ts";
import { GRANT_OUTCOME } from "../types.ts";
import { endGrant } from "./end_grant.ts";
import type { PoolState } from "./pool_state.ts";
import { removeForeign, setForeign } from "./server_capacity.ts";
import type { GrantOwner } from "./server_state.ts";

/** Adds a grant that an earlier coordinator issued and that a host reports as held. */
function adoptGrant(pool: PoolState, owner: GrantOwner, held: HeldGrant): void {
  const nowMs = pool.options.clock.nowMs();
  const { grant, tokensPerServer } = held;
  const deadlineMs = nowMs + held.remainingMs;
  for (const { id } of grant.servers) {
    const server = pool.servers.get(id);
    if (server === undefined) continue;
    setForeign(server, {
      requestId: grant.requestId,
      tokens: tokensPerServer,
      untilMs: deadlineMs,
      addedMs: nowMs,
      isReleased: false,
    });
  }
  pool.grants.set(grant.grantId, {
    grant: { ...grant, coordinator: pool.options.address },
    req: {
      requestId: grant.requestId,
      serves: "",
      workspace: "",
      fingerprint: held.fingerprint,
      promptTokens: 0,
      maxTokens: 0,
      prefixBlocks: [],
      remainingMs: 0,
      firstTokenRemainingMs: 0,
      exclude: [],
    },
    acquireId: "",
    grantedMs: nowMs,
    deadlineMs,
    expectedFirstTokenMs: Infinity,
    prefillMs: 0,
    tokensPerServer,
    isSpeedSample: false,
    owners: new Map([[owner.host, owner]]),
    isReported: true,
    isAdopted: true,
    crashedServers: new Set(),
  });
  pool.suspects.startRun(held.fingerprint, grant.servers[0]!.id);
}

/**
 * Ends the grants that a host reports as ended.
 *
 * While another host still reads the stream of a grant, an outcome other than `done` only removes
 * the reporting host from its owners.
 */
export function handleEndedGrants(
  pool: PoolState,
  host: string,
  ended: readonly EndedGrant[],
): void {
  for (const { grantId, requestId, serverIds, result } of ended) {
    const record = pool.grants.get(grantId);
    if (record === undefined) {
      for (const id of serverIds) {
        const server = pool.servers.get(id);
        if (result.outcome === GRANT_OUTCOME.DONE && server !== undefined) {
          removeForeign(server, requestId);
        }
      }
      continue;
    }
    record.owners.delete(host);
    if (record.owners.size === 0 || result.outcome === GRANT_OUTCOME.DONE) {
      endGrant(pool, grantId, result);
    }
  }
}

/**
 * Applies the part of a host's report that concerns one pool.
 *
 * A grant that the host does not list is ended if the host wrote the report after the grant's
 * dispatch window. The report proves this by returning a mark, a time of this coordinator's clock,
 * that is later than the window.
 *
 * @param pool the pool
 * @param owner the reporting host
 * @param part grants that it holds and grants that have ended
 * @param epoch identifies this coordinator and its lease term; marks of other epochs are ignored
 */
export function handleReport(
  pool: PoolState,
  owner: GrantOwner,
  part: Report["pools"][number],
  epoch: string,
): void {
  handleEndedGrants(pool, owner.host, part.ended);
  for (const held of part.held) {
    const record = pool.grants.get(held.grant.grantId);
    if (record === undefined) {
      adoptGrant(pool, owner, held);
      continue;
    }
    record.isReported = true;
    record.owners.set(owner.host, owner);
  }
  const listed = new Set(part.held.map(({ grant }) => grant.grantId));
  for (const [grantId, record] of [...pool.grants]) {
    const knownOwner = record.owners.get(owner.host);
    if (knownOwner === undefined || listed.has(grantId)) continue;
    const isEarlierProcess = knownOwner.incarnation < owner.incarnation;
    const isPastWindow = knownOwner.incarnation === owner.incarnation &&
      part.mark?.epoch === epoch &&
      record.grantedMs + GRANT_DISPATCH_WINDOW_MS <= part.mark.atMs;
    if (!isPastWindow && !isEarlierProcess) continue;
    record.owners.delete(owner.host);
    if (record.owners.size > 0) continue;
    const outcome = isEarlierProcess || record.isReported
      ? GRANT_OUTCOME.CANCELLED
      : GRANT_OUTCOME.NOT_DISPATCHED;
    endGrant(pool, grantId, { outcome });
  }
}
