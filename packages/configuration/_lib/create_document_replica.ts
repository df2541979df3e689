import type { Logger, Metrics } from "@jaypass/kernel";
import { RECENT_CHANGES_MAX_BYTES, RECENT_CHANGES_MAX_COUNT } from "../constants.ts";
import type { ConfigDocument, ConfigSnapshot, StoredChange } from "../types.ts";
import { applyChanges } from "./apply_changes.ts";
import { createEmptyDocument } from "./create_empty_document.ts";

/** Options of {@linkcode createDocumentReplica}. */
export interface DocumentReplicaOptions {
  log: Logger;
  metrics: Metrics;
  /** Called after each new revision, before the listeners. */
  onAdvance: () => void;
}

/** This host's copy of the document, whose revision only increases. */
export interface DocumentReplica {
  current(): Readonly<ConfigSnapshot>;
  /** Applies the change of the next revision; returns `false` for any other, which is ignored. */
  apply(change: StoredChange): boolean;
  /** Loads a snapshot of a higher revision; returns `false` for any other, which is ignored. */
  load(snapshot: ConfigSnapshot): boolean;
  /** Returns the changes after a revision, or `undefined` when not all of them are in memory. */
  changesAfter(revision: number): StoredChange[] | undefined;
  onChange(listener: (document: Readonly<ConfigDocument>, revision: number) => void): void;
}

/**
 * Creates this host's copy of the document, which is empty and at revision 0 at first.
 *
 * @param options logger, metrics and callback
 */
export function createDocumentReplica(options: DocumentReplicaOptions): DocumentReplica {
  const { log, metrics, onAdvance } = options;
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

  const advance = (next: ConfigSnapshot) => {
    current = next;
    metrics.gauge("configuration.revision", next.revision);
    onAdvance();
    for (const listener of listeners) {
      try {
        listener(next.document, next.revision);
      } catch (err) {
        log.error({ err, revision: next.revision }, "Configuration change listener failed");
      }
    }
  };

  const addRecent = (change: StoredChange) => {
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
      // The initial document exists only as a snapshot; its change lists no entries.
      if (change.snapshotRevision >= change.revision) return false;
      if (change.previousId !== current.changeId) {
        metrics.increment("configuration.divergent");
        log.error(
          { revision: change.revision, expected: current.changeId, found: change.previousId },
          "Configuration change does not follow the current one; ignoring it because the store lost changes",
        );
        return false;
      }
      addRecent(change);
      const { revision, changeId, snapshotRevision, snapshotName, oldestRevision } = change;
      const document = applyChanges(current.document, change.changes);
      advance({ revision, changeId, snapshotRevision, snapshotName, oldestRevision, document });
      return true;
    },
    load(snapshot) {
      if (snapshot.revision <= current.revision) return false;
      recent.length = 0;
      recentBytes = 0;
      advance({ ...snapshot, document: { ...createEmptyDocument(), ...snapshot.document } });
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
