import { HEARTBEATS_PER_CHECKSUM } from "../constants.ts";
import type { Clock, Metrics } from "@jaypass/kernel";
import type { Entry, View } from "./create_view.ts";
import type { GossipPayload, HeartbeatRequest, HeartbeatResponse } from "./messages.ts";
import { type HostRecord, toView } from "./host_record.ts";
import { HOST_STATE } from "../types.ts";
import type { GossipState } from "./create_gossip_state.ts";

/** What a process knows about the exchange with one peer that it calls. */
export interface LinkState {
  /** Process of the peer, and the version of its log that is known here. */
  peerEpoch: number;
  peerVersion: number;
  /** Version of the own log that the peer has. */
  sentVersion: number;
  /** Whether the views were compared since the peer's process started. */
  isSynced: boolean;
  /** Records that the peer asked for or has older. */
  pendingRecords: HostRecord[];
  heartbeatCount: number;
}

/** Options of {@linkcode createExchange}. */
export interface ExchangeOptions {
  selfId: string;
  /** Random number of this process. */
  epoch: number;
  view: View;
  gossip: GossipState;
  clock: Clock;
  metrics: Metrics;
  version: () => number;
  /** Takes records that others hold about this host. */
  onOwnRecord: (record: HostRecord) => void;
}

/** Builds and takes the messages of heartbeats. */
export interface Exchange {
  createLinkState(): LinkState;
  /** Whether the link's peer lacks something that this process knows. */
  hasChanges(link: LinkState, peerId: string): boolean;
  buildRequest(link: LinkState, peerId: string): HeartbeatRequest;
  applyResponse(link: LinkState, req: HeartbeatRequest, res: HeartbeatResponse): void;
  handleRequest(req: HeartbeatRequest): HeartbeatResponse;
}

const orAbsent = <T>(list: T[]): T[] | undefined => list.length === 0 ? undefined : list;

/** Creates the message side of the membership; it does no input or output. */
export function createExchange(options: ExchangeOptions): Exchange {
  const { selfId, epoch, view, gossip: news, clock, metrics, version, onOwnRecord: onSelf } =
    options;

  const isChangedFor = (entry: Entry, since: number, peerId: string) =>
    entry.changedAt > since && entry.learnedFrom !== peerId && entry.record.id !== peerId;

  const changesSince = (since: number, peerId: string) =>
    since >= version()
      ? []
      : [...view.entries()].filter((entry) => isChangedFor(entry, since, peerId)).map((entry) =>
        entry.record
      );

  /** A suspect or dead host that talks must learn of it, so that it can refute. */
  const opinionOf = (peerId: string): HostRecord[] => {
    const record = view.get(peerId)?.record;
    const isWrong = record?.state === HOST_STATE.SUSPECT || record?.state === HOST_STATE.DEAD;
    return isWrong ? [record] : [];
  };

  const unique = (records: HostRecord[]) => [
    ...new Map(records.map((record) => [record.id, record])).values(),
  ];

  /** Takes records and returns those of which this process has a newer one. */
  const takeHosts = (records: readonly HostRecord[], from: string): HostRecord[] =>
    records.flatMap((record) => {
      if (record.id === selfId) {
        onSelf(record);
        return [];
      }
      const result = view.apply(record, from);
      return result === "older" ? view.get(record.id)?.record ?? [] : [];
    });

  const takeNews = (message: GossipPayload, from: string): HostRecord[] => {
    const newer = takeHosts(message.hosts ?? [], from);
    const entry = view.get(from);
    if (entry !== undefined) {
      entry.lastHeardMs = clock.nowMs();
      news.apply(message, toView(entry.record));
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
      const { digests, casts } = news.changesSince(link.sentVersion, peerId);
      return digests !== undefined || casts !== undefined || link.pendingRecords.length > 0 ||
        changesSince(link.sentVersion, peerId).length > 0;
    },

    buildRequest(link, peerId) {
      news.refreshDigests();
      const { sentVersion, isSynced } = link;
      const own = view.get(selfId)!.record;
      const changes = isSynced ? changesSince(sentVersion, peerId) : [own];
      return {
        from: selfId,
        epoch,
        ver: version(),
        to: link.peerEpoch,
        since: link.peerVersion,
        hosts: orAbsent(unique([...link.pendingRecords, ...changes, ...opinionOf(peerId)])),
        ...news.changesSince(isSynced ? sentVersion : 0, peerId),
        summary: isSynced ? undefined : view.summary(),
        check: isSynced &&
            link.heartbeatCount++ % HEARTBEATS_PER_CHECKSUM === HEARTBEATS_PER_CHECKSUM - 1
          ? view.checksum()
          : undefined,
      };
    },

    applyResponse(link, req, res) {
      const owed = takeNews(res, res.id);
      const isSamePeer = res.epoch === link.peerEpoch;
      if (req.summary !== undefined) {
        link.isSynced = true;
        owed.push(...view.recordsByHash(res.wants ?? new Uint8Array()));
      } else if (!isSamePeer || res.resync) {
        metrics.increment("membership_resync");
        link.isSynced = false;
      }
      link.pendingRecords = unique(owed);
      link.peerEpoch = res.epoch;
      link.peerVersion = res.ver;
      link.sentVersion = req.ver;
    },

    handleRequest(req) {
      const newer = takeNews(req, req.from);
      const caller = view.get(req.from);
      const isKnown = req.to === epoch;
      const diff = req.summary === undefined ? undefined : view.compare(req.summary);
      const isDifferent = req.check !== undefined && req.check !== view.checksum();
      news.refreshDigests();
      const since = isKnown ? req.since : 0;
      const changes = diff?.hosts ?? (isKnown ? changesSince(since, req.from) : []);
      const own = view.get(selfId)!.record;
      return {
        id: selfId,
        epoch,
        ver: version(),
        hosts: orAbsent(
          unique([...newer, ...changes, ...opinionOf(req.from), ...(isKnown ? [] : [own])]),
        ),
        ...news.changesSince(since, req.from),
        wants: diff === undefined || diff.wants.length === 0 ? undefined : diff.wants,
        resync: diff === undefined && (!isKnown || isDifferent || caller === undefined)
          ? true
          : undefined,
      };
    },
  };
}
