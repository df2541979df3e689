import { createClock, createMetrics, type Logger, type RandomSource } from "@jaypass/kernel";
import { createIncarnation, createMembership } from "@jaypass/membership";
import { createPeerPool, createPeerServer, type PeerTls } from "@jaypass/peers";
import type { HostListClient } from "@jaypass/store_clients";

const log: Logger = { debug() {}, info() {}, warn() {}, error() {}, child: () => log };

/** Options of {@linkcode startControlHost}. */
export interface ControlHostOptions {
  id: string;
  /** Address of an earlier process of this host; a free address by default. */
  address?: string;
  tls: PeerTls;
  topology: "ring" | "mesh";
  hostList: HostListClient;
  random: RandomSource;
}

/** Starts a host that runs only the control plane: peer server, peer connections and membership. */
export async function startControlHost(options: ControlHostOptions) {
  const { id, tls, topology, random } = options;
  const clock = createClock();
  const metrics = createMetrics({ tags: { host: id } });
  const server = createPeerServer({ listen: options.address ?? "127.0.0.1:0", tls, log, metrics });
  const address = await server.listen();
  const peers = createPeerPool({ tls, clock, metrics });
  let isKilled = false;
  const hostList: HostListClient = {
    list: (callOptions) => options.hostList.list(callOptions),
    register: (host, callOptions) => options.hostList.register(host, callOptions),
    // A killed process does not remove itself from the host list.
    remove: (hostId, callOptions) =>
      isKilled ? Promise.resolve() : options.hostList.remove(hostId, callOptions),
  };
  const membership = createMembership({
    self: {
      id,
      incarnation: createIncarnation({ clock, random }),
      dataCentre: "qc-east-a",
      peerAddress: address,
      callerUrl: `http://${address}`,
    },
    hostList,
    peers,
    server,
    clock,
    random,
    log,
    metrics,
    choosePeers: topology === "mesh" ? (_self, others) => [...others] : undefined,
  });
  let revision = 1;
  membership.addDigest({
    name: "configuration",
    local: () => revision,
    onBehind(remote) {
      revision = remote;
      membership.push();
    },
  });
  await membership.start();

  return {
    id,
    address,
    membership,
    metrics,
    revision: () => revision,
    incrementRevision() {
      revision++;
      membership.push();
    },
    /** Returns the bytes that this host sent and received, as counted by its peer client and server. */
    countedBytes: () =>
      [peers.traffic(), server.traffic()].flatMap((traffic) => Object.values(traffic)).reduce(
        (sum, { sentBytes, receivedBytes }) => sum + sentBytes + receivedBytes,
        0,
      ),
    /** Simulates a crash: stops without leaving the membership and without notifying other hosts. */
    async kill() {
      isKilled = true;
      await Promise.all([peers.close(), server.stop(0)]);
      await membership.stop();
      await metrics.close();
    },
  };
}

/** A running host of the control plane. */
export type ControlHost = Awaited<ReturnType<typeof startControlHost>>;
