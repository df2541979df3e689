import type { Metrics } from "@jaypass/kernel";
import type { PeerPool } from "@jaypass/peers";
import { PEER_CALL_TIMEOUT_MS, SNAPSHOT_MAX_BYTES } from "../constants.ts";
import { ConfigurationError } from "../errors.ts";
import type { DocumentReplica } from "./create_document_replica.ts";
import { CHANGES_METHOD, SNAPSHOT_METHOD } from "./peer_methods.ts";
import { decodeSnapshot } from "./snapshot_codec.ts";

/** How peers are called. */
export interface AdvanceFromPeerOptions {
  peers: PeerPool;
  metrics: Metrics;
  signal: AbortSignal;
}

async function loadSnapshot(
  holder: DocumentReplica,
  address: string,
  options: AdvanceFromPeerOptions,
) {
  const { peers, metrics, signal } = options;
  const parts: Uint8Array[] = [];
  let size = 0;
  const call = { timeoutMs: 4 * PEER_CALL_TIMEOUT_MS, signal };
  for await (const { bytes } of peers.stream(address, SNAPSHOT_METHOD, {}, call)) {
    parts.push(bytes);
    size += bytes.length;
    if (size > SNAPSHOT_MAX_BYTES) throw new ConfigurationError("Snapshot is too large");
  }
  metrics.increment("configuration.peer_snapshot_bytes", {}, size);
  if (size > 0) holder.load(await decodeSnapshot(Buffer.concat(parts)));
}

/**
 * Gets the missing changes, or a snapshot when the host is far behind, from one peer.
 *
 * @param holder the document in force
 * @param address peer address, `ip:port`
 * @param options peer pool, metrics and signal
 * @throws {PeerError} when the peer does not answer
 */
export async function advanceFromPeer(
  holder: DocumentReplica,
  address: string,
  options: AdvanceFromPeerOptions,
): Promise<void> {
  const { peers, metrics, signal } = options;
  const after = holder.current().revision;
  const call = { timeoutMs: PEER_CALL_TIMEOUT_MS, signal };
  const answer = await peers.call(address, CHANGES_METHOD, { after }, call);
  metrics.increment("configuration.peer_reads");
  for (const change of answer.changes) holder.apply(change);
  // A peer that no longer keeps the next change, or a first change that exists only as a snapshot.
  if (answer.revision > holder.current().revision && holder.current().revision === after) {
    await loadSnapshot(holder, address, options);
  }
}
