import type { Logger, Metrics } from "@jaypass/kernel";
import { RECENT_CHANGES_MAX_BYTES, RECENT_CHANGES_MAX_COUNT } from "../constants.ts";
import type { ConfigDocument, ConfigSnapshot, StoredChange } from "../types.ts";
import { applyChanges } from "./apply_changes.ts";
import { createEmptyDocument } from "./create_empty_document.ts";

/** What the holder needs. */
export interface DocumentReplicaOptions {
  log: Logger;
  metrics: Metrics;
  /** Called after each step forward, before the listeners. */
  onAdvance: () => void;
}

/** Keeps the document in force and moves it forward only. */
export interface DocumentReplica {
  current(): Readonly<ConfigSnapshot>;
  /** Applies a change that directly follows; all others are ignored. */
  apply(change: StoredChange): boolean;
  /** Replaces the document by a snapshot of a higher revision; all others are ignored. */
  load(snapshot: ConfigSnapshot): boolean;
  /** Recent changes after a revision, or `undefined` when they are no longer kept. */
  changesAfter(revision: number): StoredChange[] | undefined;
  onChange(listener: (document: Readonly<ConfigDocument>, revision: number) => void): void;
}

/**
 * Creates the holder of the document in force, starting from the empty document at revision 0.
 *
 * @param options logger, metrics and hook
 */
export function createDocumentReplica(options: DocumentReplicaOptions): DocumentReplica {
  const { log, metrics, onAdvance: onStep } = options;
  const listeners: ((document: Readonly<ConfigDocument>, revision: number) => void)[] = [];
  const recent: { change: StoredChange; bytes: number }[] = [];
  let recentBytes = 0;
  let current: ConfigSnapshot = {
    revision: 0,
    changeId: "",
    snapshotRevision: 0,
    snapshotName: "",
    oldestRevision: 1,
    document: createEmptyDocument(),
  };

  const step = (next: ConfigSnapshot) => {
    current = next;
    metrics.gauge("configuration.revision", next.revision);
    onStep();
    for (const listener of listeners) {
      try {
        listener(next.document, next.revision);
      } catch (err) {
        log.error({ err, revision: next.revision }, "Configuration listener failed");
      }
    }
  };

  const remember = (change: StoredChange) => {
    const bytes = Buffer.byteLength(JSON.stringify(change));
    recent.push({ change, bytes });
    recentBytes += bytes;
    while (recent.length > RECENT_CHANGES_MAX_COUNT || recentBytes > RECENT_CHANGES_MAX_BYTES) {
      recentBytes -= recent.shift()!.bytes;
    }
  };

  return {
    current: () => current,
    apply(change) {
      if (change.revision !== current.revision + 1) return false;
      // The first document exists only as a snapshot; its change lists no entries.
      if (change.snapshotRevision >= change.revision) return false;
      if (change.previousId !== current.changeId) {
        metrics.increment("configuration.divergent");
        log.error(
          { revision: change.revision, expected: current.changeId, found: change.previousId },
          "Stored change does not follow the one in force; the store lost accepted changes",
        );
        return false;
      }
      remember(change);
      const { revision, changeId, snapshotRevision, snapshotName, oldestRevision } = change;
      const document = applyChanges(current.document, change.changes);
      step({ revision, changeId, snapshotRevision, snapshotName, oldestRevision, document });
      return true;
    },
    load(snapshot) {
      if (snapshot.revision <= current.revision) return false;
      recent.length = 0;
      recentBytes = 0;
      step({ ...snapshot, document: { ...createEmptyDocument(), ...snapshot.document } });
      return true;
    },
    changesAfter(revision) {
      if (revision >= current.revision) return [];
      const oldest = recent[0]?.change.revision;
      if (oldest === undefined || oldest > revision + 1) return undefined;
      return recent.slice(revision + 1 - oldest).map(({ change }) => change);
    },
    onChange: (listener) => void listeners.push(listener),
  };
}
