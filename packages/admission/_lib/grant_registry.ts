import type { Clock, Millis } from "@jaypass/kernel";
import type { EndedGrant, HeldGrant, Report } from "../messages.ts";
import type { AcquireRequest, Grant, GrantResult } from "../types.ts";

/** A grant that this host holds. */
export interface HeldGrantRecord {
  grant: Grant;
  fingerprint: string;
  tokensPerServer: number;
  /** Monotonic time after which it must not be dispatched. */
  dispatchByMs: Millis;
  deadlineMs: Millis;
  /** Called when the grant ends, for example to return its quota slot. */
  onEnd: () => void;
}

/** How long an unconfirmed end is reported; no coordinator knows the grant after that. */
const ENDED_RETENTION_MS = 900_000;

/** Grants that this host holds, and ended grants that their coordinators have not confirmed. */
export interface GrantRegistry {
  add(record: HeldGrantRecord): void;
  find(grantId: string): HeldGrantRecord | undefined;
  findByRequest(requestId: string): HeldGrantRecord | undefined;
  /** Ends a grant, which is reported as ended until it is confirmed. */
  end(grantId: string, result: GrantResult): EndedGrant | undefined;
  /** Removes ended grants that a coordinator has confirmed. */
  confirm(grantIds: readonly string[]): void;
  /** Names of the pools with held or ended grants. */
  pools(): string[];
  /** Builds the part of a report that concerns a pool. */
  reportPart(pool: string): Pick<Report["pools"][number], "held" | "ended">;
  /** Number of held and ended grants. */
  readonly size: number;
}

/** Creates an empty registry. */
export function createGrantRegistry(clock: Clock): GrantRegistry {
  const held = new Map<string, HeldGrantRecord>();
  const ended = new Map<string, EndedGrant & { endedMs: Millis }>();
  return {
    add: (record) => void held.set(record.grant.grantId, record),
    find: (grantId) => held.get(grantId),
    findByRequest: (requestId) =>
      [...held.values()].find(({ grant }) => grant.requestId === requestId),
    end(grantId, result) {
      const record = held.get(grantId);
      if (record === undefined) return undefined;
      held.delete(grantId);
      const item: EndedGrant = {
        grantId,
        pool: record.grant.pool,
        requestId: record.grant.requestId,
        serverIds: record.grant.servers.map(({ id }) => id),
        result,
      };
      ended.set(grantId, { ...item, endedMs: clock.nowMs() });
      record.onEnd();
      return item;
    },
    confirm(grantIds) {
      for (const grantId of grantIds) ended.delete(grantId);
    },
    pools: () => [
      ...new Set([
        ...[...held.values()].map(({ grant }) => grant.pool),
        ...[...ended.values()].map(({ pool }) => pool),
      ]),
    ],
    reportPart(pool) {
      const nowMs = clock.nowMs();
      for (const [grantId, item] of ended) {
        if (nowMs - item.endedMs > ENDED_RETENTION_MS) ended.delete(grantId);
      }
      const toHeld = (
        { grant, fingerprint, tokensPerServer, deadlineMs }: HeldGrantRecord,
      ): HeldGrant => ({
        grant,
        fingerprint,
        tokensPerServer,
        remainingMs: Math.max(0, deadlineMs - nowMs),
      });
      return {
        held: [...held.values()].filter(({ grant }) => grant.pool === pool).map(toHeld),
        ended: [...ended.values()].filter((item) => item.pool === pool)
          .map(({ endedMs: _, ...item }) => item),
      };
    },
    get size() {
      return held.size + ended.size;
    },
  };
}

/** Tokens that a grant reserves on each of its servers. */
export function tokensPerServer(req: AcquireRequest, grant: Grant): number {
  return Math.ceil((req.promptTokens + req.maxTokens) / grant.servers.length);
}
