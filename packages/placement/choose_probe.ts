import { createHash } from "node:crypto";
import {
  PROBE_IDLE_MS,
  PROBE_JOB_SHARE,
  PROBE_MAX_WAIT_SHARE,
  SOUND_FAILURE_SHARE,
} from "./constants.ts";
import { computeAvoidedShare } from "./create_failure_share.ts";
import type { ServerLoad } from "./create_server_load.ts";
import type { PlacementJob } from "./types.ts";

/** Part of a server's slots up to which it gets probes. */
const PROBED_SLOTS_SHARE = 0.5;

/** Hex digits of a hash that are read as a number. */
const HASH_DIGITS = 8;

/**
 * Chooses a slow or failing server for a job that shows whether the server has recovered.
 *
 * Meant for servers that get hardly any other requests. Only a small share of the jobs are probes, and only
 * those that may run twice, are not retries and have hardly waited. The same job gets the same answer
 * each time, since a waiting job is placed in several tries. No probe is needed for the speed of an
 * engine that states its pace.
 *
 * @param job the request
 * @param loads servers that may get it
 * @param isShort true for a call or a prompt that is short enough for a probe
 * @returns the server to probe, or `undefined` to place the job as usual
 *
 * @example
 * const probed = chooseProbe(job, loads, true);
 */
export function chooseProbe(
  job: PlacementJob,
  loads: readonly ServerLoad[],
  isShort: boolean,
): ServerLoad | undefined {
  if (!isShort || !job.isRepeatable || job.isRetry) return undefined;
  if (job.elapsedMs > PROBE_MAX_WAIT_SHARE * job.goalMs) return undefined;
  const [first, ...others] = loads.filter(isProbeDue);
  if (first === undefined || others.length + 1 === loads.length) return undefined;
  if (hashToShare(job.id, "probe") >= PROBE_JOB_SHARE) return undefined;
  return others.reduce(
    (best, load) => load.sinceLastSendMs() > best.sinceLastSendMs() ? load : best,
    first,
  );
}

function isProbeDue(load: ServerLoad): boolean {
  const { speed, failures } = load;
  const isSlow = speed.factor() > 1 && !speed.hasFreshPace();
  const isFailing = failures.share() >= SOUND_FAILURE_SHARE;
  return (isSlow || isFailing) && load.sinceLastSendMs() >= PROBE_IDLE_MS &&
    load.requests() < PROBED_SLOTS_SHARE * load.server.slots;
}

/**
 * Excludes servers that fail part of their requests, each for a share of the jobs that grows with the
 * share of its failures, and for all jobs that may run only once.
 *
 * @param job the request
 * @param loads servers that may get it
 * @returns the servers to choose from; all of them if most would be excluded
 *
 * @example
 * const preferred = excludeFailing(job, loads);
 */
export function excludeFailing(job: PlacementJob, loads: readonly ServerLoad[]): ServerLoad[] {
  // The least loaded server of a plain service gets each call that does not avoid it, so that its fair
  // share is the part of the calls that may go there. Engines are packed instead.
  const fairShare = job.promptTokens === 0 ? 1 / loads.length : 1;
  const kept = loads.filter(({ failures, server }) => {
    const share = failures.share();
    if (share < SOUND_FAILURE_SHARE) return true;
    const usedShare = (1 - computeAvoidedShare(share)) * fairShare;
    return job.isRepeatable && hashToShare(job.id, server.id) < usedShare;
  });
  return kept.length >= loads.length / 2 ? kept : [...loads];
}

/** Maps two keys to a number between 0 and 1 that is the same each time. */
function hashToShare(key: string, other: string): number {
  const digest = createHash("sha1").update(`${key}/${other}`).digest("hex");
  return parseInt(digest.slice(0, HASH_DIGITS), 16) / 16 ** HASH_DIGITS;
}
