import type { Metrics } from "@jaypass/kernel";
import type { PeerPool } from "@jaypass/peers";
import { PEER_CALL_TIMEOUT_MS, SNAPSHOT_MAX_BYTES } from "../constants.ts";
import { ConfigurationError } from "../errors.ts";
import type { DocumentReplica } from "./create_document_replica.ts";
import { CHANGES_METHOD, SNAPSHOT_METHOD } from "./peer_methods.ts";
import { decodeSnapshot } from "./snapshot_codec.ts";

/** Options of {@linkcode advanceFromPeer}. */
export interface AdvanceFromPeerOptions {
  peers: PeerPool;
  metrics: Metrics;
  signal: AbortSignal;
}

async function loadSnapshot(
  replica: DocumentReplica,
  address: string,
  options: AdvanceFromPeerOptions,
) {
  const { peers, metrics, signal } = options;
  const chunks: Uint8Array[] = [];
  let size = 0;
  const call = { timeoutMs: 4 * PEER_CALL_TIMEOUT_MS, signal };
  for await (const { bytes } of peers.stream(address, SNAPSHOT_METHOD, {}, call)) {
    chunks.push(bytes);
    size += bytes.length;
    if (size > SNAPSHOT_MAX_BYTES) throw new ConfigurationError("Snapshot of peer is too large");
  }
  metrics.increment("configuration.peer_snapshot_bytes", {}, size);
  if (size > 0) replica.load(await decodeSnapshot(Buffer.concat(chunks)));
}

/**
 * Reads the missing changes, or a snapshot when they are no longer available, from one peer.
 *
 * @param replica this host's copy of the document
 * @param address peer address, `ip:port`
 * @param options peer pool, metrics and signal
 * @throws {PeerError} when a call to the peer fails
 */
export async function advanceFromPeer(
  replica: DocumentReplica,
  address: string,
  options: AdvanceFromPeerOptions,
): Promise<void> {
  const { peers, metrics, signal } = options;
  const after = replica.current().revision;
  const call = { timeoutMs: PEER_CALL_TIMEOUT_MS, signal };
  const answer = await peers.call(address, CHANGES_METHOD, { after }, call);
  metrics.increment("configuration.peer_reads");
  for (const change of answer.changes) replica.apply(change);
  // The peer no longer keeps the next change, or that is revision 1, which may exist only as a
  // snapshot.
  if (answer.revision > replica.current().revision && replica.current().revision === after) {
    await loadSnapshot(replica, address, options);
  }
}
