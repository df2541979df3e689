import type { PeerServer } from "@jaypass/peers";
import { SNAPSHOT_CHUNK_BYTES } from "../constants.ts";
import type { DocumentReplica } from "./create_document_replica.ts";
import { CHANGES_METHOD, SNAPSHOT_METHOD } from "./peer_methods.ts";
import { encodeSnapshot } from "./snapshot_codec.ts";

/**
 * Registers the handlers of `Configuration.Changes` and `Configuration.Snapshot`, which answer from
 * memory.
 *
 * @param server the peer server of this host
 * @param replica this host's copy of the document
 */
export function servePeers(server: PeerServer, replica: DocumentReplica): void {
  // Many hosts may restart together and load the same snapshot, so each revision is encoded once.
  let cachedSnapshot: { revision: number; bytes: Promise<Uint8Array> } | undefined;

  server.handle(CHANGES_METHOD, ({ after }) => {
    const changes = replica.changesAfter(after) ?? [];
    return Promise.resolve({ revision: replica.current().revision, changes });
  });

  server.handleStream(SNAPSHOT_METHOD, async function* (_req, { signal }) {
    const current = replica.current();
    if (current.revision === 0) return;
    if (cachedSnapshot?.revision !== current.revision) {
      cachedSnapshot = { revision: current.revision, bytes: encodeSnapshot(current) };
    }
    const bytes = await cachedSnapshot.bytes;
    for (let offset = 0; offset < bytes.length && !signal.aborted; offset += SNAPSHOT_CHUNK_BYTES) {
      yield { bytes: bytes.subarray(offset, offset + SNAPSHOT_CHUNK_BYTES) };
    }
  });
}
