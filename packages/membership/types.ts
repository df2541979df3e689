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
  /** Distinguishes processes on the same host; a later one sorts after an earlier one. */
  incarnation: string;
  dataCentre: string;
  /** Peer address, `ip:port`. */
  peerAddress: string;
  /** Base URL for callers. */
  callerUrl: string;
  state: HostState;
}

/** A number that only grows, carried by heartbeats so that peers notice that they are behind. */
export interface Digest {
  name: string;
  /** The own number. */
  local(): number;
  /** Called when a peer shows a higher number than the own. */
  onBehind(remote: number, peer: HostView): void;
}

/** This process's view of the hosts; it steers choices and never decides a safety rule. */
export interface Membership {
  self(): HostView;
  /** All known hosts, dead ones included for a while. */
  hosts(): HostView[];
  find(id: string): HostView | undefined;
  /** Marks this host as leaving and pushes it to the peers at once. */
  leave(): void;
  addDigest(digest: Digest): void;
  /** Exchanges heartbeats with all current peers now, for example after a digest grew. */
  push(): void;
  /** Sends a small message to every host by flooding; duplicates are dropped. */
  broadcast(topic: string, payload: unknown): void;
  onBroadcast(topic: string, handler: (payload: unknown) => void): void;
  /** Asks a host directly which incarnation runs there; `undefined` when it does not answer. */
  askIncarnation(peerAddress: string): Promise<{ host: string; incarnation: string } | undefined>;
}
