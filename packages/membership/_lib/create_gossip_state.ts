import { BROADCAST_LIFETIME_MS, MAX_REMEMBERED_BROADCASTS } from "../constants.ts";
import { LRUCache } from "lru-cache";
import type { Broadcast, GossipPayload } from "./messages.ts";
import type { Clock, Millis } from "@jaypass/kernel";
import type { Digest, HostView } from "../types.ts";

interface KeptCast extends Broadcast {
  changedAt: number;
  learnedFrom: string | undefined;
  atMs: Millis;
}

/** Options of {@linkcode createGossipState}. */
export interface GossipStateOptions {
  clock: Clock;
  nextVersion: () => number;
  /** Called when the own digests or broadcasts changed. */
  onChange: () => void;
}

/** Digests and broadcasts of this process. */
export interface GossipState {
  addDigest(digest: Digest): void;
  /** Notes which own digests have grown. */
  refreshDigests(): void;
  addBroadcast(cast: Broadcast, learnedFrom: string | undefined): void;
  onBroadcast(topic: string, handler: (payload: unknown) => void): void;
  /** What changed after a log version, without what `peer` told itself. */
  changesSince(version: number, peer: string): Pick<GossipPayload, "digests" | "casts">;
  /** Takes what a peer told. */
  apply(news: GossipPayload, peer: HostView): void;
  /** Forgets old broadcasts and the digests of hosts that are gone. */
  prune(isKnown: (id: string) => boolean): void;
}

/** Creates the digests and broadcasts of a process. */
export function createGossipState(options: GossipStateOptions): GossipState {
  const { clock, nextVersion, onChange } = options;
  const digests = new Map<string, { digest: Digest; noted: number; changedAt: number }>();
  const remote = new Map<string, Record<string, number>>();
  const casts = new Map<string, KeptCast>();
  const seen = new LRUCache<string, true>({ max: MAX_REMEMBERED_BROADCASTS });
  const handlers = new Map<string, ((payload: unknown) => void)[]>();
  const isFresh = ({ atMs }: KeptCast) => clock.nowMs() - atMs < BROADCAST_LIFETIME_MS;

  const addCast = (cast: Broadcast, learnedFrom: string | undefined) => {
    if (seen.has(cast.id)) return;
    seen.set(cast.id, true);
    casts.set(cast.id, { ...cast, learnedFrom, changedAt: nextVersion(), atMs: clock.nowMs() });
    if (learnedFrom !== undefined) {
      for (const handler of handlers.get(cast.topic) ?? []) handler(cast.payload);
    }
    onChange();
  };

  const noteDigests = () => {
    let isChanged = false;
    for (const kept of digests.values()) {
      const local = kept.digest.local();
      if (local === kept.noted) continue;
      kept.noted = local;
      kept.changedAt = nextVersion();
      isChanged = true;
    }
    if (isChanged) onChange();
  };

  return {
    addDigest(digest) {
      digests.set(digest.name, { digest, noted: 0, changedAt: 0 });
      noteDigests();
    },
    refreshDigests: noteDigests,
    addBroadcast: addCast,
    onBroadcast(topic, handler) {
      handlers.set(topic, [...handlers.get(topic) ?? [], handler]);
    },

    changesSince(version, peer) {
      const grown = [...digests].filter(([, { changedAt }]) => changedAt > version);
      const fresh = [...casts.values()].filter((cast) =>
        cast.changedAt > version && cast.learnedFrom !== peer && isFresh(cast)
      );
      return {
        digests: grown.length === 0
          ? undefined
          : Object.fromEntries(grown.map(([name, { noted }]) => [name, noted])),
        casts: fresh.length === 0
          ? undefined
          : fresh.map(({ id, topic, payload }) => ({ id, topic, payload })),
      };
    },

    apply(news, peer) {
      for (const cast of news.casts ?? []) addCast(cast, peer.id);
      if (news.digests) remote.set(peer.id, { ...remote.get(peer.id), ...news.digests });
      // Repeated with each heartbeat, because the fetch that follows may fail.
      for (const [name, value] of Object.entries(remote.get(peer.id) ?? {})) {
        const digest = digests.get(name)?.digest;
        if (digest !== undefined && value > digest.local()) digest.onBehind(value, peer);
      }
    },

    prune(isKnown) {
      for (const [id, cast] of casts) if (!isFresh(cast)) casts.delete(id);
      for (const id of remote.keys()) if (!isKnown(id)) remote.delete(id);
    },
  };
}
