import type { Clock, Millis } from "@jaypass/kernel";
import {
  CRASH_REVIEW_INTERVAL_MS,
  HARMLESS_AFTER_MS,
  HARMLESS_RUN_FACTOR,
  QUARANTINE_HOLD_MS,
} from "../constants.ts";
import { createCrashEvidence } from "../create_crash_evidence.ts";
import type { CrashVerdict } from "../create_crash_evidence.ts";
import { createQuarantineList } from "../create_quarantine_list.ts";
import type { QuarantineList } from "../create_quarantine_list.ts";
import type { ServerLoad } from "../create_server_load.ts";
import { listContentKeys } from "../list_content_keys.ts";
import { JOB_OUTCOME } from "../types.ts";
import type { JobOutcome, PlacementJob } from "../types.ts";

/** A job that was sent to a server. */
export interface SentJob {
  job: PlacementJob;
  /** Server that got the request. */
  serverId: string;
  /** Id and start time of the server. */
  serverStart: string;
  /** Time at which the request was sent. */
  sentMs: Millis;
  /** Time of the first byte of the answer; undefined before it. */
  writingSinceMs?: Millis;
  /** Longest run of the job that the evidence knows of. */
  recordedRunMs?: Millis;
}

/** Keeps requests from servers that would end under them. */
export interface CrashGuard {
  /** Returns the milliseconds for which a job must be refused; undefined if it may be sent. */
  findRefusalMs(job: PlacementJob): Millis | undefined;
  /** Counts a job that is sent as a trial if its content is in quarantine. */
  countTrial(job: PlacementJob): void;
  /** Records that a job was sent, by this placer or another one. */
  recordSend(sent: SentJob): void;
  /** Records the first byte of an answer. */
  recordStart(sent: SentJob): void;
  /** Records the end of an attempt. */
  recordEnd(sent: SentJob, outcome: JobOutcome): void;
  /**
   * Selects servers without another suspect request, so that the end of one of them shows which
   * request is the cause. A suspect request that can wait does so while there is none, and while
   * another one with the same suspect content runs, which may end another server.
   *
   * @returns the servers to choose from; none if the request should wait
   */
  separate(job: PlacementJob, servers: readonly ServerLoad[], canWait: boolean): ServerLoad[];
  /** Draws conclusions from the crashes so far, for which the running jobs are looked at. */
  review(): void;
}

/** Options of {@linkcode createCrashGuard}. */
export interface CrashGuardOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Content that must not be sent; a new list by default. */
  quarantine?: QuarantineList;
  /** Lists the jobs that have been sent and have not ended. */
  running: () => Iterable<SentJob>;
  /** Called with each verdict, for the log. */
  onVerdict?: (verdict: CrashVerdict) => void;
}

/**
 * Creates a guard against content that crashes servers; it has no evidence at first.
 *
 * @param options clock and list of quarantines, to which verdicts are added
 * @returns the guard
 *
 * @example
 * const guard = createCrashGuard({ clock, quarantine });
 * const refusalMs = guard.findRefusalMs(job);
 */
export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const { clock, quarantine = createQuarantineList(clock), running, onVerdict } = options;
  const evidence = createCrashEvidence(clock, quarantine.listHeld);
  let reviewedMs = -Infinity;

  const computeRunMs = ({ writingSinceMs }: SentJob): Millis =>
    writingSinceMs === undefined ? 0 : clock.nowMs() - writingSinceMs;

  /** Records that a job has run for a while; the next record follows once it shows clearly more. */
  const recordRun = (sent: SentJob) => {
    const { job, recordedRunMs = 0 } = sent;
    const ranMs = computeRunMs(sent);
    if (ranMs < Math.max(HARMLESS_AFTER_MS, HARMLESS_RUN_FACTOR * recordedRunMs)) return;
    sent.recordedRunMs = ranMs;
    evidence.recordRun(job.service, listContentKeys(job), ranMs);
  };

  /**
   * Lists the suspect keys of a job that occur in the fewest crashes. Sound requests are more likely
   * to have the others too.
   */
  const listSuspectKeys = (job: PlacementJob): string[] => {
    const crashCounts = evidence.suspectKeys(job.service);
    if (crashCounts.size === 0) return [];
    const counted = listContentKeys(job).map((key) => ({ key, count: crashCounts.get(key) }))
      .filter(({ count }) => count !== undefined);
    const least = Math.min(...counted.map(({ count = 0 }) => count));
    return counted.filter(({ count }) => count === least).map(({ key }) => key);
  };

  /** Running jobs with suspect content, by id. */
  const suspects = new Map<string, SentJob>();

  const trackIfSuspect = (sent: SentJob) => {
    if (listSuspectKeys(sent.job).length > 0) suspects.set(sent.job.id, sent);
  };

  /** Lists the running jobs with suspect content that have not proved to be harmless. */
  const listUnproved = (): SentJob[] => {
    for (const [id, sent] of suspects) {
      recordRun(sent);
      if (listSuspectKeys(sent.job).length === 0) suspects.delete(id);
    }
    return [...suspects.values()];
  };

  const recordAnswer = (sent: SentJob) => {
    const keys = listContentKeys(sent.job);
    evidence.recordAnswer(sent.job.service, keys, computeRunMs(sent));
    quarantine.release(keys);
  };

  return {
    findRefusalMs(job) {
      const keys = listContentKeys(job);
      const found = quarantine.find(keys);
      if (found !== undefined && found.trialInMs > 0) return found.trialInMs;
      return job.isRetry && evidence.isLikelyCause(keys) ? QUARANTINE_HOLD_MS : undefined;
    },
    countTrial: (job) => quarantine.countTrial(listContentKeys(job)),
    recordSend: trackIfSuspect,
    separate(job, servers, canWait) {
      const unproved = listUnproved();
      if (unproved.length === 0) return [...servers];
      const suspectKeys = listSuspectKeys(job);
      const mustWait = canWait && suspectKeys.length > 0;
      const runsAlready = unproved.some((sent) =>
        sent.job.service === job.service &&
        listSuspectKeys(sent.job).some((key) => suspectKeys.includes(key))
      );
      if (mustWait && runsAlready) return [];
      const serverIds = new Set(unproved.map(({ serverId }) => serverId));
      const others = servers.filter(({ server }) => !serverIds.has(server.id));
      return others.length > 0 || mustWait ? others : [...servers];
    },
    recordStart: ({ serverStart, sentMs }) => evidence.recordServerAlive(serverStart, sentMs),
    recordEnd(sent, outcome) {
      const { job, serverStart, sentMs } = sent;
      suspects.delete(job.id);
      const isAnswer = outcome === JOB_OUTCOME.ANSWERED;
      if (isAnswer || outcome === JOB_OUTCOME.FAILED) {
        evidence.recordServerAlive(serverStart, sentMs);
      }
      // A continuation does not repeat the earlier part of the answer, in which another server may have crashed.
      if (isAnswer && !job.isContinuation) recordAnswer(sent);
      else if (outcome === JOB_OUTCOME.BROKEN) {
        const keys = listContentKeys(job);
        const ranMs = computeRunMs(sent);
        evidence.recordCrash({ serverStart, service: job.service, keys, sentMs, ranMs });
        for (const other of running()) trackIfSuspect(other);
      } else recordRun(sent);
    },
    review() {
      const now = clock.nowMs();
      if (now - reviewedMs < CRASH_REVIEW_INTERVAL_MS || !evidence.isReviewDue()) return;
      reviewedMs = now;
      for (const sent of running()) recordRun(sent);
      for (const verdict of evidence.takeVerdicts()) {
        onVerdict?.(verdict);
        quarantine.add(verdict);
      }
    },
  };
}
