import type { Clock, Millis } from "@jaypass/kernel";
import {
  ANSWER_MEMORY_MS,
  CRASH_EVIDENCE_MS,
  CRASH_SETTLE_MS,
  MAX_ANSWERED_KEYS,
  MAX_CRASH_ATTEMPTS,
  MAX_CRASH_RECORDS,
  MAX_CRASH_ROUNDS,
  MIN_CRASH_ROUNDS,
  MIN_SUSPICION_MS,
  SUSPECT_CRASH_ROUNDS,
} from "./constants.ts";
import { computeCrashRounds } from "./compute_crash_rounds.ts";
import { createRunCounts } from "./create_run_counts.ts";
import type { RunCounts } from "./create_run_counts.ts";
import { isHarmlessRun } from "./is_harmless_run.ts";

/** An attempt whose server ended before its answer did. */
export interface CrashedAttempt {
  /** Start of the server that ended. */
  serverStart: string;
  /** Service of the server. */
  service: string;
  /** Content keys of the request. */
  keys: readonly string[];
  /** Time at which the attempt was sent. */
  sentMs: Millis;
  /** Time from the first byte of the answer to the end of the server; 0 if there was none. */
  ranMs: Millis;
}

/** Content that crashes the servers that begin to answer it. */
export interface CrashVerdict {
  /** Content keys that all requests of this kind have in common. */
  keys: string[];
  /** Number of servers that ended under such requests. */
  crashCount: number;
}

/** Evidence on which content crashes servers. */
export interface CrashEvidence {
  /** Records an attempt whose server ended. */
  recordCrash(attempt: CrashedAttempt): void;
  /**
   * Records that a server of the service has answered a request with these keys, `ranMs` after the
   * first byte.
   */
  recordAnswer(service: string, keys: readonly string[], ranMs: Millis): void;
  /**
   * Records that a server has been writing the answer to a request with these keys for a time. It clears
   * the keys of crashes that came sooner after the first byte, and says nothing of later ones.
   */
  recordRun(service: string, keys: readonly string[], ranMs: Millis): void;
  /** Records that a server answers an attempt that was sent at the given time. */
  recordServerAlive(serverStart: string, sentMs: Millis): void;
  /** True while there are crashes to review, of which all attempts have been reported. */
  isReviewDue(): boolean;
  /** Reviews the crashes and returns the verdicts for which there is enough evidence now. */
  takeVerdicts(): CrashVerdict[];
  /**
   * Returns the keys of a service that occur in several unexplained crashes and that no answer has
   * cleared, with the number of crashes. One crash says little, as all requests of a server end with it.
   */
  suspectKeys(service: string): ReadonlyMap<string, number>;
  /** Reports whether requests with these keys are likely to crash another server. */
  isLikelyCause(keys: readonly string[]): boolean;
}

/** What is known of the end of one start of a server. */
interface CrashRecord {
  serverStart: string;
  service: string;
  atMs: Millis;
  /** Keys of each suspect attempt that no answer has cleared. */
  attempts: Set<string>[];
  /** Time at which the last attempt with a key was sent. */
  sentMsByKey: Map<string, Millis>;
  /** Longest run of an attempt with a key. */
  ranMsByKey: Map<string, Millis>;
  /** Number of suspect attempts, cleared ones included. */
  attemptCount: number;
  /** Answers of the service before the crash, by the length of their runs. */
  earlierAnswers: RunCounts;
  isReviewed: boolean;
}

/** Evidence against one key. */
interface KeyEvidence {
  key: string;
  /** Crashes of which each attempt was sent after the one before was known. */
  rounds: number;
  crashCount: number;
  /** Time of the second crash, from which on the key is under suspicion. */
  suspectSinceMs: Millis;
  /** Longest run of an attempt with the key before a crash. */
  ranMs: Millis;
  /** Answers without the key since its first crash that took as long as its attempts had run. */
  answerCount: number;
  /** Crashed attempts without the key since its first crash. */
  otherCrashCount: number;
}

/**
 * Creates an empty collection of evidence.
 *
 * Content that crashes servers does so on each server. One answer therefore clears all keys of a
 * request, and only keys without an answer, shortly before the crash or since, stay suspect. Content can
 * crash servers at any moment of its answer, so that a request that is still being answered clears its
 * keys only of crashes that came sooner after the first byte.
 *
 * Servers also end for other reasons, many at once, and under requests that have nothing to do with it.
 * So crashes count in rounds: an attempt of the next round is sent after the last crash was known. The
 * rounds that are needed depend on how many requests without the key crash meanwhile, compared with
 * those that were answered and took as long. Without such an answer there is no verdict; retries are
 * refused after several rounds all the same, as they cost another server.
 *
 * A key that occurs beside more specific ones is given time for an answer first. Crashes that content
 * in quarantine explains do not count against other content.
 *
 * @param clock monotonic time source
 * @param listQuarantined returns the keys of each content that is in quarantine
 * @returns the evidence
 *
 * @example
 * const evidence = createCrashEvidence(clock, quarantine.listHeld);
 * evidence.recordCrash({ serverStart, service, keys, sentMs });
 * for (const verdict of evidence.takeVerdicts()) quarantine.add(verdict);
 */
export function createCrashEvidence(
  clock: Clock,
  listQuarantined: () => readonly (readonly string[])[],
): CrashEvidence {
  let records: CrashRecord[] = [];
  /** Content that is likely to crash another server, with the time of the last crash and its runs. */
  let likelyCauses: { keys: string[]; atMs: Millis; ranMs: Millis }[] = [];
  const answersByService = new Map<string, RunCounts>();
  const answersOf = (service: string) => answersByService.get(service) ?? NO_ANSWERS;
  /** Last harmless runs of requests with a key, oldest first; the run of a whole answer is infinite. */
  const harmlessRuns = new Map<string, { atMs: Millis; ranMs: Millis }>();

  const findRecentRunMs = (name: string): Millis => {
    const run = harmlessRuns.get(name);
    return run !== undefined && clock.nowMs() - run.atMs <= ANSWER_MEMORY_MS ? run.ranMs : 0;
  };

  const rememberRun = (service: string, keys: readonly string[], ranMs: Millis) => {
    for (const key of keys) {
      const name = `${service} ${key}`;
      if (findRecentRunMs(name) > ranMs) continue;
      harmlessRuns.delete(name);
      harmlessRuns.set(name, { atMs: clock.nowMs(), ranMs });
    }
    for (const name of harmlessRuns.keys()) {
      if (harmlessRuns.size <= MAX_ANSWERED_KEYS) break;
      harmlessRuns.delete(name);
    }
  };

  /** Records a run that did not crash its server so far; an infinite one is a whole answer. */
  const recordHarmlessRun = (service: string, keys: readonly string[], ranMs: Millis) => {
    rememberRun(service, keys, ranMs);
    if (records.length === 0) return;
    const ofService = records.filter((record) => record.service === service);
    const hasCleared = ofService.map((record) => clearKeys(record, keys, ranMs)).includes(true);
    if (hasCleared) suspectKeysByService.clear();
    likelyCauses = likelyCauses.filter((cause) =>
      !isHarmlessRun(ranMs, cause.ranMs) || !cause.keys.some((key) => keys.includes(key))
    );
  };

  const removeExpired = () => {
    const oldestMs = clock.nowMs() - CRASH_EVIDENCE_MS;
    records = records.filter(({ atMs }) => atMs >= oldestMs).slice(-MAX_CRASH_RECORDS);
    likelyCauses = likelyCauses.filter(({ atMs }) => atMs >= oldestMs).slice(-MAX_CRASH_RECORDS);
  };

  const isDue = ({ atMs, isReviewed }: CrashRecord) =>
    !isReviewed && clock.nowMs() - atMs >= CRASH_SETTLE_MS;

  /** Reports whether quarantined content that does not concern the key explains a crash. */
  const isExplained = ({ attempts }: CrashRecord, key: string) =>
    listQuarantined().some((quarantined) =>
      !quarantined.includes(key) && attempts.some(includesAll(quarantined))
    );

  const listUnexplainedKeys = (record: CrashRecord) =>
    [...record.sentMsByKey.keys()].filter((key) => !isExplained(record, key));

  /** Suspect keys by service; emptied when the evidence changes. */
  const suspectKeysByService = new Map<string, ReadonlyMap<string, number>>();

  const suspectKeys = (service: string): ReadonlyMap<string, number> => {
    if (records.length === 0) return NO_KEYS;
    const known = suspectKeysByService.get(service);
    if (known !== undefined) return known;
    const counts = new Map<string, number>();
    for (const record of records) {
      if (record.service !== service) continue;
      for (const key of listUnexplainedKeys(record)) counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    const keys = new Map([...counts].filter(([, count]) => count > 1));
    suspectKeysByService.set(service, keys);
    return keys;
  };

  const weighKey = (service: string, key: string): KeyEvidence => {
    const weighed: KeyEvidence = {
      key,
      rounds: 0,
      crashCount: 0,
      suspectSinceMs: Infinity,
      ranMs: 0,
      answerCount: 0,
      otherCrashCount: 0,
    };
    let earlierAnswers: RunCounts = NO_ANSWERS;
    let knownMs = -Infinity;
    for (const record of records) {
      if (record.service !== service || isExplained(record, key)) continue;
      const sentMs = record.sentMsByKey.get(key);
      if (sentMs === undefined) {
        if (weighed.crashCount > 0) weighed.otherCrashCount += record.attemptCount;
        continue;
      }
      if (weighed.crashCount === 0) earlierAnswers = record.earlierAnswers;
      weighed.crashCount += 1;
      weighed.ranMs = Math.max(weighed.ranMs, record.ranMsByKey.get(key) ?? 0);
      if (weighed.crashCount === 2) weighed.suspectSinceMs = record.atMs;
      if (sentMs <= knownMs) continue;
      weighed.rounds += 1;
      knownMs = record.atMs;
    }
    weighed.answerCount = answersOf(service).countFrom(weighed.ranMs) -
      earlierAnswers.countFrom(weighed.ranMs);
    return weighed;
  };

  /** Lists the keys of a crash with the most evidence against them. */
  const listStrongest = (record: CrashRecord): KeyEvidence[] => {
    const weighed = [...record.sentMsByKey.keys()].map((key) => weighKey(record.service, key));
    const rounds = Math.max(...weighed.map((item) => item.rounds));
    const withRounds = weighed.filter((item) => item.rounds === rounds);
    const crashCount = Math.max(...withRounds.map((item) => item.crashCount));
    return withRounds.filter((item) => item.crashCount === crashCount);
  };

  /**
   * Groups equally suspect keys by the attempts in which they occur together. Of keys of different
   * attempts some are beside the cause by chance, so that more crashes have to tell them apart.
   */
  const groupByAttempt = ({ attempts }: CrashRecord, strongest: KeyEvidence[]): string[][] => {
    const keys = strongest.map(({ key }) => key);
    const whole = attempts.some(includesAll(keys));
    if (whole) return [keys];
    if ((strongest[0]?.rounds ?? 0) < MAX_CRASH_ROUNDS) return [];
    return attempts.map((attempt) => keys.filter((key) => attempt.has(key)))
      .filter((group) => group.length > 0);
  };

  /**
   * Reports whether requests with a key have other suspect keys in fewer crashes. Sound requests may
   * then have the key too, and several other keys be the causes.
   */
  const hasSpecificKeys = (
    { service, attempts }: CrashRecord,
    { key, crashCount }: KeyEvidence,
  ) => {
    const crashCounts = suspectKeys(service);
    return attempts.some((attempt) =>
      attempt.has(key) &&
      [...attempt].some((other) => (crashCounts.get(other) ?? Infinity) < crashCount)
    );
  };

  const review = (record: CrashRecord): CrashVerdict[] => {
    record.isReviewed = true;
    if (record.sentMsByKey.size === 0) return [];
    const strongest = listStrongest(record);
    const [first] = strongest;
    if (first === undefined) return [];
    if (first.rounds < computeCrashRounds(first, SUSPECT_CRASH_ROUNDS)) return [];
    const groups = groupByAttempt(record, strongest);
    const hasRounds = first.answerCount > 0 &&
      first.rounds >= computeCrashRounds(first, MIN_CRASH_ROUNDS);
    const isEarly = clock.nowMs() - first.suspectSinceMs < MIN_SUSPICION_MS;
    if (!hasRounds || (isEarly && hasSpecificKeys(record, first))) {
      // A crash that was reviewed too early is reviewed again, and must not be listed twice.
      likelyCauses = likelyCauses.filter((known) => known.atMs !== record.atMs);
      const { ranMs } = first;
      likelyCauses.push(...groups.map((keys) => ({ keys, atMs: record.atMs, ranMs })));
      record.isReviewed = !hasRounds;
      return [];
    }
    suspectKeysByService.clear();
    return groups.filter((keys) => !listQuarantined().some((held) => isSubset(held, keys)))
      .map((keys) => ({ keys, crashCount: first.crashCount }));
  };

  return {
    recordCrash({ serverStart, service, keys, sentMs, ranMs }) {
      removeExpired();
      suspectKeysByService.clear();
      let record = records.find((known) => known.serverStart === serverStart);
      if (record === undefined) {
        record = {
          serverStart,
          service,
          atMs: clock.nowMs(),
          attempts: [],
          sentMsByKey: new Map(),
          ranMsByKey: new Map(),
          attemptCount: 0,
          earlierAnswers: answersOf(service),
          isReviewed: false,
        };
        records.push(record);
      }
      record.attemptCount += 1;
      if (record.attempts.length === MAX_CRASH_ATTEMPTS) return;
      const suspectKeys = keys.filter((key) =>
        !isHarmlessRun(findRecentRunMs(`${service} ${key}`), ranMs)
      );
      record.attempts.push(new Set(suspectKeys));
      for (const key of suspectKeys) {
        record.sentMsByKey.set(key, Math.max(sentMs, record.sentMsByKey.get(key) ?? -Infinity));
        record.ranMsByKey.set(key, Math.max(ranMs, record.ranMsByKey.get(key) ?? 0));
      }
    },
    recordAnswer(service, keys, ranMs) {
      answersByService.set(service, answersOf(service).add(ranMs));
      recordHarmlessRun(service, keys, Infinity);
    },
    recordRun: recordHarmlessRun,
    recordServerAlive(serverStart, sentMs) {
      if (records.length === 0) return;
      const kept = records.filter((record) =>
        record.serverStart !== serverStart || sentMs <= record.atMs
      );
      if (kept.length === records.length) return;
      records = kept;
      suspectKeysByService.clear();
    },
    isReviewDue: () => records.some(isDue),
    takeVerdicts: () => records.filter(isDue).flatMap(review),
    suspectKeys,
    isLikelyCause: (keys) => likelyCauses.some((cause) => isSubset(cause.keys, keys)),
  };
}

const NO_KEYS: ReadonlyMap<string, number> = new Map();

const NO_ANSWERS = createRunCounts();

function isSubset(keys: readonly string[], others: readonly string[]): boolean {
  return keys.every((key) => others.includes(key));
}

function includesAll(keys: readonly string[]) {
  return (attempt: Set<string>) => keys.every((key) => attempt.has(key));
}

/** Clears the keys of a harmless run in crashes that came sooner; returns true if one was suspect. */
function clearKeys(record: CrashRecord, keys: readonly string[], ranMs: Millis): boolean {
  const cleared = keys.filter((key) =>
    isHarmlessRun(ranMs, record.ranMsByKey.get(key) ?? 0) && record.sentMsByKey.delete(key)
  );
  for (const attempt of record.attempts) for (const key of cleared) attempt.delete(key);
  return cleared.length > 0;
}
