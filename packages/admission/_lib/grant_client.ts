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

/** Time for the answer to an `Acquire` call, in addition to the wait at the coordinator. */
const CALL_MARGIN_MS = 400;
/** Timeout of calls that are answered without a wait. */
const SHORT_CALL_TIMEOUT_MS = 1_000;

/** Maximum number of attempts for one request over all pools. */
const MAX_TRIES = 48;
/** First pause before unreachable pools are tried again; each further pause is twice as long. */
const FIRST_PAUSE_MS = 200;
/** Longest such pause. */
const MAX_PAUSE_MS = 500;
/** Minimum time that a returned grant leaves for its dispatch. */
const MIN_DISPATCH_MS = 200;

/** Refusals that apply to all pools, so that no other pool is tried. */
const FINAL_REFUSALS: readonly Refusal[] = [
  REFUSAL.QUARANTINED,
  REFUSAL.WORKSPACE_LIMIT,
  REFUSAL.DEADLINE_PASSED,
];

/** Options of {@linkcode createGrantClient}. */
export interface GrantClientOptions {
  clock: Clock;
  metrics: Metrics;
  configuration: Configuration;
  membership: Membership;
  peers: PeerPool;
  owner: GrantOwner;
  dataCentre: string;
  registry: GrantRegistry;
  quota: Pick<QuotaClient, "tryAcquire" | "isTight" | "acquire" | "release">;
  directory: CoordinatorDirectory;
  tasks: TaskGroup;
  pools: () => readonly PoolView[];
  waitMs: (pool: string, lane: Lane) => Millis;
  onWait: (pool: string, lane: Lane, waitMs: Millis) => void;
  isQuarantined: (fingerprint: string) => boolean;
  /** Schedules reports to a pool even without grants, so that a grant lost in transit is freed. */
  requestReports: (pool: string) => void;
}

/** Creates the client side of admission, used by the router of the same host. */
export function createGrantClient(options: GrantClientOptions): Admission {
  const { registry, clock, configuration, directory, owner, peers, quota } = options;
  let acquireCount = 0;

  /** Lists the pools of a model or service with at least one server in service. */
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
        // No coordinator answers while a pool is being taken over; other refusals are final.
        const isUnreachable = refusal?.reason === REFUSAL.COORDINATOR_UNREACHABLE;
        if (!isUnreachable || clock.nowMs() + pauseMs >= deadlineMs) break;
        await sleep(pauseMs, signal);
        pauseMs = Math.min(2 * pauseMs, MAX_PAUSE_MS);
        queue.push(...orderedPools());
      }
      const pool = queue.shift();
      if (pool === undefined) break;
      const acquireId = `${owner.host}/${owner.incarnation}/${acquireCount++}`;
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
        registry.add(record);
        return record;
      } catch (err) {
        if (!(err instanceof AdmissionRefusedError) || FINAL_REFUSALS.includes(err.reason)) {
          throw err;
        }
        options.metrics.increment("admission.pool_failed", { reason: err.reason });
        // Report the first refusal by a coordinator, or that none was reachable if there is no
        // other.
        if (refusal === undefined || refusal.reason === REFUSAL.COORDINATOR_UNREACHABLE) {
          refusal = err;
        }
      }
    }
    throw refusal ??
      new AdmissionRefusedError(REFUSAL.NO_CAPACITY, `No pool of "${req.serves}" is in service`);
  };

  /** Acquires the quota slot and the grant concurrently, so that the slot adds no delay. */
  const acquire = async (req: AcquireRequest, signal: AbortSignal): Promise<Grant> => {
    const startMs = clock.nowMs();
    const { workspace } = req;
    const slot = quota.tryAcquire(workspace) ? Promise.resolve() : quota.acquire(workspace, {
      deadlineMs: startMs + Math.min(req.remainingMs, req.firstTokenRemainingMs),
      signal,
    });
    // Near its limit a workspace waits for its slot first, so that no engine is reserved meanwhile.
    if (quota.isTight(workspace)) await slot;
    slot.catch(() => {});
    try {
      for (;;) {
        const record = await acquireGrant(req, startMs, signal);
        try {
          await slot;
        } catch (err) {
          release(record.grant, { outcome: GRANT_OUTCOME.NOT_DISPATCHED });
          throw err;
        }
        if (clock.nowMs() < record.dispatchByMs - MIN_DISPATCH_MS) {
          record.onEnd = () => quota.release(workspace);
          return record.grant;
        }
        // The slot or the grant arrived too late to dispatch. Nothing was sent, so that another
        // grant may be acquired until the deadline, after which `acquireGrant` throws.
        release(record.grant, { outcome: GRANT_OUTCOME.NOT_DISPATCHED });
      }
    } catch (err) {
      void slot.then(() => quota.release(workspace), () => {});
      throw err;
    }
  };

  const release: Admission["release"] = (grant, result) => {
    const item = registry.end(grant.grantId, result);
    if (item === undefined) return;
    const pool = options.pools().find(({ name }) => name === grant.pool);
    const address = (pool && directory.addresses(pool)[0]) ?? grant.coordinator;
    options.tasks.run("release", async (signal) => {
      try {
        const message = { owner, ended: [item] };
        const call = { timeoutMs: SHORT_CALL_TIMEOUT_MS, signal };
        registry.confirm((await peers.call(address, RELEASE, message, call)).confirmed);
      } catch {
        // The next report repeats the release.
        options.metrics.increment("admission.release_deferred");
      }
    });
  };

  return {
    acquire,
    release,
    checkDispatch(grant) {
      const record = registry.find(grant.grantId);
      // The request may have been quarantined after it was granted.
      if (record !== undefined && options.isQuarantined(record.fingerprint)) {
        throw new AdmissionRefusedError(
          REFUSAL.QUARANTINED,
          "The request crashed two servers",
        );
      }
      if (record !== undefined && clock.nowMs() < record.dispatchByMs) return;
      throw new AdmissionRefusedError(
        REFUSAL.DEADLINE_PASSED,
        `The dispatch window of grant "${grant.grantId}" has passed`,
      );
    },
    async find(requestId, signal) {
      const own = registry.findByRequest(requestId);
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
      registry.add({
        grant: held.grant,
        fingerprint: held.fingerprint,
        tokensPerServer: held.tokensPerServer,
        // The request has already been dispatched; this host only resumes its stream.
        dispatchByMs: 0,
        deadlineMs: clock.nowMs() + held.remainingMs,
        onEnd: () => {},
      });
      return held.grant;
    },
  };
}
