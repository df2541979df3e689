import { createHash } from "node:crypto";
import type { Clock, Millis } from "@jaypass/kernel";
import {
  MAX_QUARANTINES,
  QUARANTINE_HOLD_FACTOR,
  QUARANTINE_HOLD_MS,
  QUARANTINE_MAX_HOLD_MS,
  RELEASE_MEMORY_MS,
} from "./constants.ts";

/** Content whose requests are not sent to servers, because it crashes them. */
export interface Quarantine {
  /** Content keys; a request is refused if it has all of them. */
  keys: readonly string[];
  /** Servers that ended before the content was put in quarantine. */
  crashCount: number;
  /** Times that its requests were sent again since then, as a trial or after a release. */
  trialCount: number;
  /** True if the quarantine was lifted. */
  isReleased: boolean;
}

/** Quarantines that a host knows. */
export interface QuarantineList {
  /** Adds content that was found to crash servers, also if its quarantine was lifted before. */
  add(found: Pick<Quarantine, "keys" | "crashCount">): void;
  /**
   * Merges what another host knows. More trials are newer, and a release is newer than its trials.
   *
   * @returns true if anything changed
   */
  merge(quarantine: Quarantine): boolean;
  /** Finds a quarantine of requests with these keys, and the milliseconds until the next trial. */
  find(keys: readonly string[]): { quarantine: Quarantine; trialInMs: Millis } | undefined;
  /** Counts a trial, which postpones the next one. */
  countTrial(keys: readonly string[]): void;
  /** Lifts the quarantines of requests with these keys, one of which was answered. */
  release(keys: readonly string[]): void;
  /** Lists the keys of each content whose requests are refused. */
  listHeld(): readonly (readonly string[])[];
  /** Lists all quarantines, those that were lifted a short time ago included. */
  list(): Quarantine[];
}

interface Entry {
  quarantine: Quarantine;
  /** Time of the last change that this host learnt. */
  changedMs: Millis;
}

/** Length of an id; collisions of a few thousand ids are unlikely. */
const ID_HEX_DIGITS = 16;

/**
 * Returns the id of a quarantine, which is the same on all hosts.
 *
 * @param quarantine a quarantine, or its keys
 * @returns 16 hexadecimal digits
 *
 * @example
 * getQuarantineId({ keys: ["part:5c1e"] });
 */
export function getQuarantineId({ keys }: Pick<Quarantine, "keys">): string {
  return createHash("sha1").update(keys.toSorted().join("\n")).digest("hex")
    .slice(0, ID_HEX_DIGITS);
}

/**
 * Creates a list of quarantines.
 *
 * A quarantine is held for a while, which grows with each trial, because a trial may cost a server.
 * Each host counts the time from when it learnt of the last trial, since wall clocks may jump.
 *
 * @param clock monotonic time source
 * @param onChange called after a quarantine was added, tried or lifted
 * @returns an empty list
 *
 * @example
 * const list = createQuarantineList(clock);
 * list.merge({ keys: ["part:5c1e"], crashCount: 3, trialCount: 0, isReleased: false });
 */
export function createQuarantineList(
  clock: Clock,
  onChange: (quarantine: Quarantine) => void = () => {},
): QuarantineList {
  const entries = new Map<string, Entry>();

  let held: readonly (readonly string[])[] = [];

  const put = (quarantine: Quarantine) => {
    const id = getQuarantineId(quarantine);
    entries.delete(id);
    entries.set(id, { quarantine, changedMs: clock.nowMs() });
    const oldest = entries.keys().next();
    if (entries.size > MAX_QUARANTINES && !oldest.done) entries.delete(oldest.value);
    held = [...entries.values()].filter((entry) => !entry.quarantine.isReleased)
      .map((entry) => entry.quarantine.keys);
    onChange(quarantine);
  };

  const isForgotten = ({ quarantine, changedMs }: Entry) =>
    quarantine.isReleased && clock.nowMs() - changedMs > RELEASE_MEMORY_MS;

  const listMatching = (keys: readonly string[]): Entry[] =>
    [...entries.values()].filter(({ quarantine }) =>
      !quarantine.isReleased && quarantine.keys.every((key) => keys.includes(key))
    );

  const trialInMs = ({ quarantine, changedMs }: Entry): Millis =>
    changedMs + computeHoldMs(quarantine.trialCount) - clock.nowMs();

  const find = (quarantine: Pick<Quarantine, "keys">): Quarantine | undefined => {
    const entry = entries.get(getQuarantineId(quarantine));
    return entry === undefined || isForgotten(entry) ? undefined : entry.quarantine;
  };

  return {
    add({ keys, crashCount }) {
      const known = find({ keys });
      if (known === undefined) put({ keys, crashCount, trialCount: 0, isReleased: false });
      else if (known.isReleased) {
        put({ keys, crashCount, trialCount: known.trialCount + 1, isReleased: false });
      }
    },
    merge(quarantine) {
      const known = find(quarantine);
      const isNews = known === undefined ? !quarantine.isReleased : isNewer(quarantine, known);
      if (isNews) put(quarantine);
      return isNews;
    },
    find(keys) {
      if (entries.size === 0) return undefined;
      const matching = listMatching(keys).map((entry) => ({
        quarantine: entry.quarantine,
        trialInMs: trialInMs(entry),
      }));
      return matching.toSorted((a, b) => b.trialInMs - a.trialInMs)[0];
    },
    countTrial(keys) {
      for (const { quarantine } of listMatching(keys)) {
        put({ ...quarantine, trialCount: quarantine.trialCount + 1 });
      }
    },
    release(keys) {
      if (entries.size === 0) return;
      for (const { quarantine } of listMatching(keys)) put({ ...quarantine, isReleased: true });
    },
    listHeld: () => held,
    list: () =>
      [...entries.values()].filter((entry) => !isForgotten(entry))
        .map(({ quarantine }) => quarantine),
  };
}

/** Computes how long content is held after a number of trials. */
function computeHoldMs(trialCount: number): Millis {
  const holdMs = QUARANTINE_HOLD_MS * QUARANTINE_HOLD_FACTOR ** trialCount;
  return Math.min(QUARANTINE_MAX_HOLD_MS, holdMs);
}

function isNewer(quarantine: Quarantine, known: Quarantine): boolean {
  if (quarantine.trialCount !== known.trialCount) return quarantine.trialCount > known.trialCount;
  return quarantine.isReleased && !known.isReleased;
}
