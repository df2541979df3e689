import { randomUUID } from "node:crypto";
import { sleep } from "@jaypass/kernel";
import type { Clock, Logger, Metrics, RandomSource } from "@jaypass/kernel";
import type { ObjectClient, TableClient } from "@jaypass/store_clients";
import { CHANGE_MAX_BYTES } from "../constants.ts";
import type { ApplyResponse, ChangeEnvelope } from "../operator_api.ts";
import type { ManagedConfiguration, SectionChange, StoredChange } from "../types.ts";
import { AdministrationError } from "./administration_error.ts";
import { checkChanges } from "./check_changes.ts";
import { commitChange } from "./commit_change.ts";
import { listDifferences } from "./list_differences.ts";
import { maintainHistory } from "./maintain_history.ts";
import { toPublicChange } from "./to_public_change.ts";
import { readChanges } from "./read_changes.ts";

/** What storing a request needs. */
export interface StoreChangesOptions {
  configuration: ManagedConfiguration;
  table: TableClient;
  objects: ObjectClient;
  clock: Clock;
  random: RandomSource;
  log: Logger;
  metrics: Metrics;
  /** Name of the owner for the history. */
  who: string;
  signal: AbortSignal;
}

/** A base further back is refused, which bounds the reads of one request. */
const MAX_BASE_DISTANCE = 500;

/** Pause before a stale read is repeated. */
const STALE_READ_PAUSE_MS = 100;

/** Returns the changes after the base, which decide about conflicts. */
async function changesSince(
  base: number,
  options: StoreChangesOptions,
): Promise<readonly StoredChange[]> {
  const { configuration, table, signal } = options;
  for (;;) {
    const kept = configuration.changesAfter(base);
    if (kept !== undefined) return kept;
    const { revision, oldestRevision } = configuration.snapshot();
    if (base + 1 < oldestRevision || revision - base > MAX_BASE_DISTANCE) {
      throw new AdministrationError(
        "conflict",
        `Base revision ${base} is too far behind revision ${revision}; read the document again`,
      );
    }
    const stored = await readChanges(base + 1, revision, { table, signal });
    if (stored.length === revision - base) return stored;
    await sleep(STALE_READ_PAUSE_MS, signal);
  }
}

function namesOf(changes: readonly SectionChange[]): Set<string> {
  return new Set(
    changes.flatMap(({ section, entries }) =>
      Object.keys(entries).map((entry) => `${section}/${entry}`)
    ),
  );
}

/** Throws when a later change has touched the same entries. */
function refuseConflict(changes: readonly SectionChange[], later: readonly StoredChange[]): void {
  const wanted = namesOf(changes);
  // A change that exists only as a snapshot lists no entries and may have touched any.
  const winner = later.findLast((change) =>
    change.snapshotRevision >= change.revision ||
    [...namesOf(change.changes)].some((name) => wanted.has(name))
  );
  if (winner === undefined) return;
  const same = [...namesOf(winner.changes)].filter((name) => wanted.has(name)).slice(0, 5);
  throw new AdministrationError(
    "conflict",
    `Revision ${winner.revision} by "${winner.who}" changed "${same.join(", ")}" meanwhile`,
    { change: toPublicChange(winner) },
  );
}

/**
 * Stores changes as the next revision, and again on top of concurrent changes of other entries.
 *
 * @param changes entries by section; `null` removes an entry
 * @param envelope reason, base revision and change id
 * @param options store, configuration and owner
 * @returns the stored revision with its differences
 * @throws {AdministrationError} when the changes conflict, are not valid or are not stored
 */
export async function storeChanges(
  changes: readonly SectionChange[],
  envelope: ChangeEnvelope,
  options: StoreChangesOptions,
): Promise<ApplyResponse> {
  const { configuration, clock, metrics, log, who, signal } = options;
  const changeId = envelope.changeId ?? randomUUID();
  const base = envelope.baseRevision ?? configuration.revision();
  // The operator may have read the base from a host that is ahead of this one.
  await configuration.catchUp(base, signal);
  for (;;) {
    const current = configuration.snapshot();
    const later = await changesSince(base, options);
    const repeated = later.find((change) => change.changeId === changeId);
    if (repeated !== undefined) {
      return { revision: repeated.revision, changeId, isUnchanged: false, differences: [] };
    }
    refuseConflict(changes, later);
    const checked = checkChanges(current.document, changes);
    const differences = listDifferences(current.document, checked);
    if (differences.length === 0) {
      return { revision: current.revision, changeId, isUnchanged: true, differences };
    }
    const history = await maintainHistory(current, options);
    const change: StoredChange = {
      ...history.head,
      changeId,
      previousId: current.changeId,
      changes: checked,
      who,
      why: envelope.why,
      whenMs: clock.wallMs(),
    };
    const bytes = Buffer.byteLength(JSON.stringify(change));
    if (bytes > CHANGE_MAX_BYTES) {
      const message = `Change has ${bytes} bytes, above ${CHANGE_MAX_BYTES}; split it`;
      throw new AdministrationError("too_large", message);
    }
    const { deletedRevisions } = history;
    const result = await commitChange(change, { ...options, deletedRevisions });
    metrics.increment("configuration.commits", { outcome: result.outcome });
    switch (result.outcome) {
      case "done": {
        // The change is stored; a failure to catch up here must not be reported as its failure.
        if (!configuration.applyStoredChange(change)) {
          await configuration.catchUp(change.revision, signal)
            .catch((err) => log.warn({ err, revision: change.revision }, "Host is behind"));
        }
        await history.deleteUnusedSnapshots();
        log.info({ revision: change.revision, changeId, who }, "Configuration changed");
        return { revision: change.revision, changeId, isUnchanged: false, differences };
      }
      case "lost":
        await configuration.catchUp(result.revision, signal);
        break;
      case "behind":
        throw new AdministrationError(
          "store_behind",
          `Store is at revision ${result.revision}, but revision ${current.revision} is in force`,
        );
      case "not_done":
        throw new AdministrationError(
          "store_unavailable",
          "Store does not answer; this attempt changed nothing",
          {
            cause: result.cause,
          },
        );
      case "unknown":
        throw new AdministrationError(
          "outcome_unknown",
          `Store did not confirm the change; repeat it with change id "${changeId}" and base ` +
            `revision ${base}`,
          { cause: result.cause, changeId },
        );
    }
  }
}
