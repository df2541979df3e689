import { BROADCAST_LIFETIME_MS, MAX_REMEMBERED_BROADCASTS } from "../constants.ts";
import { LRUCache } from "lru-cache";
import type { Broadcast, GossipPayload } from "./messages.ts";
import type { Clock, Millis } from "@jaypass/kernel";
import type { Digest, HostView } from "../types.ts";

interface StoredBroadcast extends Broadcast {
  /** Version of the own change log at which it was added. */
  changedAt: number;
  /** Host that sent it; undefined for an own broadcast. */
  learnedFrom: string | undefined;
  addedMs: Millis;
}

/** Options of {@linkcode createGossipState}. */
export interface GossipStateOptions {
  clock: Clock;
  /** Returns the next version of the own change log. */
  nextVersion: () => number;
  /** Called when an own digest or the set of broadcasts changed. */
  onChange: () => void;
}

/** Digests and broadcasts that this process exchanges with its peers. */
export interface GossipState {
  addDigest(digest: Digest): void;
  /** Reads the own digests and records those that changed. */
  refreshDigests(): void;
  addBroadcast(broadcast: Broadcast, learnedFrom: string | undefined): void;
  onBroadcast(topic: string, handler: (payload: unknown) => void): void;
  /** Digests and broadcasts changed after a log version, without broadcasts learned from `peer`. */
  changesSince(version: number, peer: string): Pick<GossipPayload, "digests" | "casts">;
  /** Applies the digests and broadcasts of a message from a peer. */
  apply(gossip: GossipPayload, peer: HostView): void;
  /** Drops expired broadcasts, and the digests of hosts that are no longer known. */
  prune(isKnown: (id: string) => boolean): void;
}

/** Creates the digest and broadcast state of a process. */
export function createGossipState(options: GossipStateOptions): GossipState {
  const { clock, nextVersion, onChange } = options;
  const digests = new Map<string, { digest: Digest; value: number; changedAt: number }>();
  const peerDigests = new Map<string, Record<string, number>>();
  const broadcasts = new Map<string, StoredBroadcast>();
  const seenIds = new LRUCache<string, true>({ max: MAX_REMEMBERED_BROADCASTS });
  const handlers = new Map<string, ((payload: unknown) => void)[]>();
  const isFresh = ({ addedMs }: StoredBroadcast) => clock.nowMs() - addedMs < BROADCAST_LIFETIME_MS;

  const addBroadcast = (broadcast: Broadcast, learnedFrom: string | undefined) => {
    if (seenIds.has(broadcast.id)) return;
    seenIds.set(broadcast.id, true);
    broadcasts.set(broadcast.id, {
      ...broadcast,
      learnedFrom,
      changedAt: nextVersion(),
      addedMs: clock.nowMs(),
    });
    if (learnedFrom !== undefined) {
      for (const handler of handlers.get(broadcast.topic) ?? []) handler(broadcast.payload);
    }
    onChange();
  };

  const refreshDigests = () => {
    let isChanged = false;
    for (const own of digests.values()) {
      const local = own.digest.local();
      if (local === own.value) continue;
      own.value = local;
      own.changedAt = nextVersion();
      isChanged = true;
    }
    if (isChanged) onChange();
  };

  return {
    addDigest(digest) {
      digests.set(digest.name, { digest, value: 0, changedAt: 0 });
      refreshDigests();
    },
    refreshDigests,
    addBroadcast,
    onBroadcast(topic, handler) {
      handlers.set(topic, [...handlers.get(topic) ?? [], handler]);
    },

    changesSince(version, peer) {
      const grown = [...digests].filter(([, { changedAt }]) => changedAt > version);
      const fresh = [...broadcasts.values()].filter((broadcast) =>
        broadcast.changedAt > version && broadcast.learnedFrom !== peer && isFresh(broadcast)
      );
      return {
        digests: grown.length === 0
          ? undefined
          : Object.fromEntries(grown.map(([name, { value }]) => [name, value])),
        casts: fresh.length === 0
          ? undefined
          : fresh.map(({ id, topic, payload }) => ({ id, topic, payload })),
      };
    },

    apply(gossip, peer) {
      for (const broadcast of gossip.casts ?? []) addBroadcast(broadcast, peer.id);
      if (gossip.digests) {
        peerDigests.set(peer.id, { ...peerDigests.get(peer.id), ...gossip.digests });
      }
      // Repeated with each heartbeat until the own digest has caught up, because a fetch that the
      // listener starts may fail.
      for (const [name, value] of Object.entries(peerDigests.get(peer.id) ?? {})) {
        const digest = digests.get(name)?.digest;
        if (digest !== undefined && value > digest.local()) digest.onBehind(value, peer);
      }
    },

    prune(isKnown) {
      for (const [id, broadcast] of broadcasts) if (!isFresh(broadcast)) broadcasts.delete(id);
      for (const id of peerDigests.keys()) if (!isKnown(id)) peerDigests.delete(id);
    },
  };
}
