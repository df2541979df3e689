/**
 * Contracts of the host membership.
 *
 * @module
 */

/** States of a host in a membership view. */
export const HOST_STATE = {
  ALIVE: "alive",
  SUSPECT: "suspect",
  DEAD: "dead",
  LEAVING: "leaving",
} as const;

/** A state of {@linkcode HOST_STATE}. */
export type HostState = typeof HOST_STATE[keyof typeof HOST_STATE];

/** A host as this process sees it. */
export interface HostView {
  id: string;
  /** Identifies one process of the host; that of a later process sorts after earlier ones. */
  incarnation: string;
  dataCentre: string;
  /** Peer address, `ip:port`. */
  peerAddress: string;
  /** Base URL for callers. */
  callerUrl: string;
  state: HostState;
}

/** A number that only grows, sent in heartbeats so that peers notice when they are out of date. */
export interface Digest {
  name: string;
  /** Returns the number of this process. */
  local(): number;
  /** Called when a peer has a higher number than this process. */
  onBehind(remote: number, peer: HostView): void;
}

/**
 * This process's view of the hosts.
 *
 * The view may be out of date: it serves to choose hosts, and no safety rule may depend on it.
 */
export interface Membership {
  self(): HostView;
  /** All known hosts; a dead host is included until its tombstone expires. */
  hosts(): HostView[];
  find(id: string): HostView | undefined;
  /** Marks this host as leaving and pushes the change to the peers at once. */
  leave(): void;
  addDigest(digest: Digest): void;
  /** Exchanges heartbeats with all current peers now, for example after a digest grew. */
  push(): void;
  /** Sends a small message to every host by flooding; receivers drop duplicates. */
  broadcast(topic: string, payload: unknown): void;
  onBroadcast(topic: string, handler: (payload: unknown) => void): void;
  /** Asks a host directly which incarnation runs there; `undefined` when it does not answer. */
  askIncarnation(peerAddress: string): Promise<{ host: string; incarnation: string } | undefined>;
}
