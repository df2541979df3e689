import { GRANT_DISPATCH_WINDOW_MS } from "../constants.ts";
import type { EndedGrant, HeldGrant, Report } from "../messages.ts";
import { GRANT_OUTCOME } from "../types.ts";
import { endGrant } from "./end_grant.ts";
import type { PoolState } from "./pool_state.ts";
import { removeForeign, setForeign } from "./server_capacity.ts";
import type { GrantOwner } from "./server_state.ts";

/** Takes over a grant that an earlier coordinator gave and its host reports. */
function adopt(pool: PoolState, owner: GrantOwner, held: HeldGrant): void {
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
 * Ends grants by the word of an owner.
 *
 * While another host still reads the stream, an outcome other than `done` only removes this owner.
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
 * Applies one pool's part of a host's report.
 *
 * A grant that the host does not list is void when the host wrote the report after the grant's
 * dispatch window, which the returned mark of this coordinator's clock proves.
 *
 * @param pool the pool
 * @param owner the reporting host
 * @param part what it holds and what has ended
 * @param epoch identifies this coordinator's holding, for marks
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
      adopt(pool, owner, held);
      continue;
    }
    record.isReported = true;
    record.owners.set(owner.host, owner);
  }
  const listed = new Set(part.held.map(({ grant }) => grant.grantId));
  for (const [grantId, record] of [...pool.grants]) {
    const known = record.owners.get(owner.host);
    if (known === undefined || listed.has(grantId)) continue;
    const isEarlierProcess = known.incarnation < owner.incarnation;
    const isVoid = known.incarnation === owner.incarnation && part.mark?.epoch === epoch &&
      record.grantedMs + GRANT_DISPATCH_WINDOW_MS <= part.mark.atMs;
    if (!isVoid && !isEarlierProcess) continue;
    record.owners.delete(owner.host);
    if (record.owners.size > 0) continue;
    const outcome = isEarlierProcess || record.isReported
      ? GRANT_OUTCOME.CANCELLED
      : GRANT_OUTCOME.NOT_DISPATCHED;
    endGrant(pool, grantId, { outcome });
  }
}
