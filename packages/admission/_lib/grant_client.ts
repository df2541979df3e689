import type { Configuration } from "@jaypass/configuration";
import type { Clock, Metrics, Millis, TaskGroup } from "@jaypass/kernel";
import { sleep } from "@jaypass/kernel";
import type { Membership } from "@jaypass/membership";
import type { PeerPool } from "@jaypass/peers";
import { classifyLane } from "../classify_lane.ts";
import { ACQUIRE_WAIT_MS, MAX_POOL_TRIES } from "../constants.ts";
import { AdmissionRefusedError } from "../errors.ts";
import { ACQUIRE, FIND, RELEASE } from "../messages.ts";
import type { GrantOwner } from "../messages.ts";
import { GRANT_OUTCOME, REFUSAL } from "../types.ts";
import type { AcquireRequest, Admission, Grant, Lane, Refusal } from "../types.ts";
import { acquireFromPool } from "./acquire_from_pool.ts";
import type { CoordinatorDirectory } from "./coordinator_directory.ts";
import { tokensPerServer } from "./grant_registry.ts";
import type { GrantRegistry, HeldGrantRecord } from "./grant_registry.ts";
import type { PoolView } from "./list_pools.ts";
import { orderPools } from "./order_pools.ts";
import type { QuotaClient } from "./quota_client.ts";

/** Time beyond the coordinator's wait for which a call's answer is awaited. */
const CALL_MARGIN_MS = 400;
/** Limit of calls that do not wait. */
const SHORT_CALL_TIMEOUT_MS = 1_000;

/** Tries in all pools together, and pauses between passes over pools that do not answer. */
const MAX_TRIES = 48;
const FIRST_PAUSE_MS = 200;
const MAX_PAUSE_MS = 500;
/** Rounds in which the grant is asked for anew because the quota slot came late. */
const MAX_SLOT_ROUNDS = 2;
/** Least time that a returned grant leaves for its dispatch. */
const MIN_DISPATCH_MS = 200;

/** Refusals that hold in every pool. */
const FINAL: readonly Refusal[] = [
  REFUSAL.QUARANTINED,
  REFUSAL.WORKSPACE_LIMIT,
  REFUSAL.DEADLINE_PASSED,
];

/** What the client side needs. */
export interface GrantClientOptions {
  clock: Clock;
  metrics: Metrics;
  configuration: Configuration;
  membership: Membership;
  peers: PeerPool;
  owner: GrantOwner;
  dataCentre: string;
  registry: GrantRegistry;
  quota: Pick<QuotaClient, "tryTake" | "isTight" | "take" | "give">;
  directory: CoordinatorDirectory;
  tasks: TaskGroup;
  pools: () => readonly PoolView[];
  waitMs: (pool: string, lane: Lane) => Millis;
  onWait: (pool: string, lane: Lane, waitMs: Millis) => void;
  isQuarantined: (fingerprint: string) => boolean;
  /** Makes sure that reports go to a pool for a while, also without grants. */
  requestReports: (pool: string) => void;
}

/** Creates the client side of admission, used by the router of the same host. */
export function createGrantClient(options: GrantClientOptions): Admission {
  const { registry: book, clock, configuration, directory, owner, peers, quota } = options;
  let tries = 0;

  /** Pools of a model or service with a server in service. */
  const openPools = (serves: string) => {
    const { dataCentres } = configuration.document();
    return options.pools().filter((pool) =>
      pool.serves === serves && dataCentres[pool.dataCentre]?.state !== "out" &&
      pool.servers.some(({ state }) => state === "in")
    );
  };

  const acquireGrant = async (
    req: AcquireRequest,
    startMs: Millis,
    signal: AbortSignal,
  ): Promise<HeldGrantRecord> => {
    const deadlineMs = startMs + Math.min(req.remainingMs, req.firstTokenRemainingMs);
    const lane = classifyLane(req.promptTokens);
    const orderedPools = () =>
      orderPools(req, openPools(req.serves), {
        document: configuration.document(),
        dataCentre: options.dataCentre,
        lane,
        waitMs: options.waitMs,
      }).slice(0, MAX_POOL_TRIES);
    let refusal: AdmissionRefusedError | undefined;
    let pauseMs = FIRST_PAUSE_MS;
    const queue = orderedPools();
    for (let tried = 0; tried < MAX_TRIES; tried++) {
      if (queue.length === 0) {
        // While a pool is taken over nobody answers for it; other refusals are final.
        const isUnreachable = refusal?.reason === REFUSAL.COORDINATOR_UNREACHABLE;
        if (!isUnreachable || clock.nowMs() + pauseMs >= deadlineMs) break;
        await sleep(pauseMs, signal);
        pauseMs = Math.min(2 * pauseMs, MAX_PAUSE_MS);
        queue.push(...orderedPools());
      }
      const pool = queue.shift();
      if (pool === undefined) break;
      const acquireId = `${owner.host}/${owner.incarnation}/${tries++}`;
      options.requestReports(pool.name);
      try {
        const { grant, sentMs } = await acquireFromPool(pool, {
          clock,
          directory,
          signal,
          deadlineMs,
          message: () => {
            const elapsedMs = clock.nowMs() - startMs;
            return {
              pool: pool.name,
              acquireId,
              owner,
              req: {
                ...req,
                remainingMs: req.remainingMs - elapsedMs,
                firstTokenRemainingMs: req.firstTokenRemainingMs - elapsedMs,
              },
            };
          },
          call: (address, message) =>
            peers.call(address, ACQUIRE, message, {
              timeoutMs: ACQUIRE_WAIT_MS + CALL_MARGIN_MS,
              signal,
            }),
          onWait: (waitMs) => options.onWait(pool.name, lane, waitMs),
        });
        const record: HeldGrantRecord = {
          grant,
          fingerprint: req.fingerprint,
          tokensPerServer: tokensPerServer(req, grant),
          dispatchByMs: sentMs + grant.dispatchWithinMs,
          deadlineMs: startMs + req.remainingMs,
          onEnd: () => {},
        };
        book.add(record);
        return record;
      } catch (err) {
        if (!(err instanceof AdmissionRefusedError) || FINAL.includes(err.reason)) throw err;
        options.metrics.increment("admission.pool_failed", { reason: err.reason });
        // A coordinator's reason tells more than one that did not answer, and the first one most.
        if (refusal === undefined || refusal.reason === REFUSAL.COORDINATOR_UNREACHABLE) {
          refusal = err;
        }
      }
    }
    throw refusal ??
      new AdmissionRefusedError(REFUSAL.NO_CAPACITY, `No pool of "${req.serves}" is in service`);
  };

  /** Takes the quota slot and the grant at the same time, so that the slot costs no extra wait. */
  const acquire = async (req: AcquireRequest, signal: AbortSignal): Promise<Grant> => {
    const startMs = clock.nowMs();
    const { workspace } = req;
    const slot = quota.tryTake(workspace) ? Promise.resolve() : quota.take(workspace, {
      deadlineMs: startMs + Math.min(req.remainingMs, req.firstTokenRemainingMs),
      signal,
    });
    // Near its limit a workspace waits for its slot first, so that no engine is held meanwhile.
    if (quota.isTight(workspace)) await slot;
    slot.catch(() => {});
    try {
      for (let round = 0; round < MAX_SLOT_ROUNDS; round++) {
        const record = await acquireGrant(req, startMs, signal);
        try {
          await slot;
        } catch (err) {
          release(record.grant, { outcome: GRANT_OUTCOME.NOT_DISPATCHED });
          throw err;
        }
        if (clock.nowMs() < record.dispatchByMs - MIN_DISPATCH_MS) {
          record.onEnd = () => quota.give(workspace);
          return record.grant;
        }
        release(record.grant, { outcome: GRANT_OUTCOME.NOT_DISPATCHED });
      }
      throw new AdmissionRefusedError(
        REFUSAL.DEADLINE_PASSED,
        "The dispatch window passed while the quota was awaited",
      );
    } catch (err) {
      void slot.then(() => quota.give(workspace), () => {});
      throw err;
    }
  };

  const release: Admission["release"] = (grant, result) => {
    const item = book.end(grant.grantId, result);
    if (item === undefined) return;
    const pool = options.pools().find(({ name }) => name === grant.pool);
    const address = (pool && directory.addresses(pool)[0]) ?? grant.coordinator;
    options.tasks.run("release", async (signal) => {
      try {
        const message = { owner, ended: [item] };
        const call = { timeoutMs: SHORT_CALL_TIMEOUT_MS, signal };
        book.confirm((await peers.call(address, RELEASE, message, call)).confirmed);
      } catch {
        // The next report repeats it.
        options.metrics.increment("admission.release_deferred");
      }
    });
  };

  return {
    acquire,
    release,
    checkDispatch(grant) {
      const record = book.find(grant.grantId);
      // The broadcast may arrive between the grant and the send.
      if (record !== undefined && options.isQuarantined(record.fingerprint)) {
        throw new AdmissionRefusedError(REFUSAL.QUARANTINED, "The request crashed two servers");
      }
      if (record !== undefined && clock.nowMs() < record.dispatchByMs) return;
      throw new AdmissionRefusedError(
        REFUSAL.DEADLINE_PASSED,
        `The dispatch window of grant "${grant.grantId}" has passed`,
      );
    },
    async find(requestId, signal) {
      const own = book.findByRequest(requestId);
      if (own !== undefined) return own.grant;
      const addresses = new Set(options.pools().flatMap((pool) => directory.addresses(pool)));
      const answers = await Promise.all([...addresses].map(async (address) => {
        try {
          const call = { timeoutMs: SHORT_CALL_TIMEOUT_MS, signal };
          return (await peers.call(address, FIND, { requestId, owner }, call)).held;
        } catch {
          return undefined;
        }
      }));
      signal.throwIfAborted();
      const held = answers.find((answer) => answer !== undefined);
      if (held === undefined) return undefined;
      book.add({
        grant: held.grant,
        fingerprint: held.fingerprint,
        tokensPerServer: held.tokensPerServer,
        // It is already dispatched: this host only resumes its stream.
        dispatchByMs: 0,
        deadlineMs: clock.nowMs() + held.remainingMs,
        onEnd: () => {},
      });
      return held.grant;
    },
  };
}
