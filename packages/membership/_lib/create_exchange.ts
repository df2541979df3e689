import { HEARTBEATS_PER_CHECKSUM } from "../constants.ts";
import type { Clock, Metrics } from "@jaypass/kernel";
import type { Entry, View } from "./create_view.ts";
import type { GossipPayload, HeartbeatRequest, HeartbeatResponse } from "./messages.ts";
import { type HostRecord, toView } from "./host_record.ts";
import { HOST_STATE } from "../types.ts";
import type { GossipState } from "./create_gossip_state.ts";

/** State of the heartbeat exchange with one peer that this process calls. */
export interface LinkState {
  /** Random number of the peer's process; 0 before its first response. */
  peerEpoch: number;
  /** Version of the peer's change log up to which its changes were received. */
  peerVersion: number;
  /** Version of the own change log up to which the peer has received changes. */
  sentVersion: number;
  /** Whether the whole views were compared since the peer's process started. */
  isSynced: boolean;
  /** Records to send next: the peer asked for them, or sent an older record of the same host. */
  pendingRecords: HostRecord[];
  /** Number of requests sent with compared views; decides when a checksum is included. */
  heartbeatCount: number;
}

/** Options of {@linkcode createExchange}. */
export interface ExchangeOptions {
  selfId: string;
  /** Random number of this process, by which peers notice a restart. */
  epoch: number;
  view: View;
  gossip: GossipState;
  clock: Clock;
  metrics: Metrics;
  /** Latest version of the own change log. */
  version: () => number;
  /** Called with a record of this host that a peer holds. */
  onOwnRecord: (record: HostRecord) => void;
}

/** Builds heartbeat messages and applies received ones. */
export interface Exchange {
  createLinkState(): LinkState;
  /** Reports whether this process knows changes that it has not sent to the peer. */
  hasChanges(link: LinkState, peerId: string): boolean;
  buildRequest(link: LinkState, peerId: string): HeartbeatRequest;
  applyResponse(link: LinkState, req: HeartbeatRequest, res: HeartbeatResponse): void;
  handleRequest(req: HeartbeatRequest): HeartbeatResponse;
}

const undefinedIfEmpty = <T>(list: T[]): T[] | undefined => list.length === 0 ? undefined : list;

/** Creates the message handling of the membership; it does no input or output. */
export function createExchange(options: ExchangeOptions): Exchange {
  const { selfId, epoch, view, gossip, clock, metrics, version, onOwnRecord } = options;

  const isChangedFor = (entry: Entry, since: number, peerId: string) =>
    entry.changedAt > since && entry.learnedFrom !== peerId && entry.record.id !== peerId;

  const changesSince = (since: number, peerId: string) =>
    since >= version()
      ? []
      : [...view.entries()].filter((entry) => isChangedFor(entry, since, peerId)).map((entry) =>
        entry.record
      );

  /** A peer that is recorded as suspect or dead is sent that record, so that it can refute it. */
  const recordToRefute = (peerId: string): HostRecord[] => {
    const record = view.get(peerId)?.record;
    const isRefutable = record?.state === HOST_STATE.SUSPECT || record?.state === HOST_STATE.DEAD;
    return isRefutable ? [record] : [];
  };

  const uniqueById = (records: HostRecord[]) => [
    ...new Map(records.map((record) => [record.id, record])).values(),
  ];

  /**
   * Applies records from a peer, and returns the known records that are newer than received ones.
   */
  const applyHosts = (records: readonly HostRecord[], from: string): HostRecord[] =>
    records.flatMap((record) => {
      if (record.id === selfId) {
        onOwnRecord(record);
        return [];
      }
      const result = view.apply(record, from);
      return result === "older" ? view.get(record.id)?.record ?? [] : [];
    });

  const applyGossip = (message: GossipPayload, from: string): HostRecord[] => {
    const newer = applyHosts(message.hosts ?? [], from);
    const entry = view.get(from);
    if (entry !== undefined) {
      entry.lastHeardMs = clock.nowMs();
      gossip.apply(message, toView(entry.record));
    }
    return newer;
  };

  return {
    createLinkState: () => ({
      peerEpoch: 0,
      peerVersion: 0,
      sentVersion: 0,
      isSynced: false,
      pendingRecords: [],
      heartbeatCount: 0,
    }),

    hasChanges(link, peerId) {
      const { digests, casts } = gossip.changesSince(link.sentVersion, peerId);
      return digests !== undefined || casts !== undefined || link.pendingRecords.length > 0 ||
        changesSince(link.sentVersion, peerId).length > 0;
    },

    buildRequest(link, peerId) {
      gossip.refreshDigests();
      const { sentVersion, isSynced } = link;
      const own = view.get(selfId)!.record;
      const changes = isSynced ? changesSince(sentVersion, peerId) : [own];
      return {
        from: selfId,
        epoch,
        ver: version(),
        to: link.peerEpoch,
        since: link.peerVersion,
        hosts: undefinedIfEmpty(
          uniqueById([...link.pendingRecords, ...changes, ...recordToRefute(peerId)]),
        ),
        ...gossip.changesSince(isSynced ? sentVersion : 0, peerId),
        summary: isSynced ? undefined : view.summary(),
        check: isSynced &&
            link.heartbeatCount++ % HEARTBEATS_PER_CHECKSUM === HEARTBEATS_PER_CHECKSUM - 1
          ? view.checksum()
          : undefined,
      };
    },

    applyResponse(link, req, res) {
      const recordsToSend = applyGossip(res, res.id);
      const isSamePeer = res.epoch === link.peerEpoch;
      if (req.summary !== undefined) {
        link.isSynced = true;
        recordsToSend.push(...view.recordsByHash(res.wants ?? new Uint8Array()));
      } else if (!isSamePeer || res.resync) {
        metrics.increment("membership_resync");
        link.isSynced = false;
      }
      link.pendingRecords = uniqueById(recordsToSend);
      link.peerEpoch = res.epoch;
      link.peerVersion = res.ver;
      link.sentVersion = req.ver;
    },

    handleRequest(req) {
      const newer = applyGossip(req, req.from);
      const caller = view.get(req.from);
      const isKnown = req.to === epoch;
      const diff = req.summary === undefined ? undefined : view.compare(req.summary);
      const hasChecksumMismatch = req.check !== undefined && req.check !== view.checksum();
      gossip.refreshDigests();
      const since = isKnown ? req.since : 0;
      const changes = diff?.hosts ?? (isKnown ? changesSince(since, req.from) : []);
      const own = view.get(selfId)!.record;
      return {
        id: selfId,
        epoch,
        ver: version(),
        hosts: undefinedIfEmpty(
          uniqueById([
            ...newer,
            ...changes,
            ...recordToRefute(req.from),
            ...(isKnown ? [] : [own]),
          ]),
        ),
        ...gossip.changesSince(since, req.from),
        wants: diff === undefined || diff.wants.length === 0 ? undefined : diff.wants,
        resync: diff === undefined && (!isKnown || hasChecksumMismatch || caller === undefined)
          ? true
          : undefined,
      };
    },
  };
}
