import type { PeerServer } from "@jaypass/peers";
import { SNAPSHOT_CHUNK_BYTES } from "../constants.ts";
import type { DocumentReplica } from "./create_document_replica.ts";
import { CHANGES_METHOD, SNAPSHOT_METHOD } from "./peer_methods.ts";
import { encodeSnapshot } from "./snapshot_codec.ts";

/**
 * Answers `Configuration.Changes` and `Configuration.Snapshot` from memory.
 *
 * @param server the host's peer server
 * @param holder the document in force
 */
export function servePeers(server: PeerServer, holder: DocumentReplica): void {
  // Many hosts may restart together; they share one encoding of each revision.
  let encoded: { revision: number; bytes: Promise<Uint8Array> } | undefined;

  server.handle(CHANGES_METHOD, ({ after }) => {
    const changes = holder.changesAfter(after) ?? [];
    return Promise.resolve({ revision: holder.current().revision, changes });
  });

  server.handleStream(SNAPSHOT_METHOD, async function* (_req, { signal }) {
    const current = holder.current();
    if (current.revision === 0) return;
    if (encoded?.revision !== current.revision) {
      encoded = { revision: current.revision, bytes: encodeSnapshot(current) };
    }
    const bytes = await encoded.bytes;
    for (let at = 0; at < bytes.length && !signal.aborted; at += SNAPSHOT_CHUNK_BYTES) {
      yield { bytes: bytes.subarray(at, at + SNAPSHOT_CHUNK_BYTES) };
    }
  });
}
