import type { Digest, HostView, Membership } from "@jaypass/membership";
import type { PeerMethod, PeerPool, PeerServer } from "@jaypass/peers";
import { sleep } from "@jaypass/kernel";

/** The peer side of one host. */
export interface FakeHost {
  peers: PeerPool;
  server: PeerServer;
  membership: Membership;
  /** While set, the host reaches no peer and no peer reaches it. */
  setIsolated(isCutOff: boolean): void;
  stop(): void;
}

/** Connects hosts of one process. */
export interface FakeNetwork {
  createHost(id: string): FakeHost;
  /** Bytes of message bodies passed between hosts, as JSON. */
  bytes(): number;
}

/** Interval of heartbeats (design, section 4.5). */
const HEARTBEAT_MS = 2_000;

// deno-lint-ignore no-explicit-any
type Handler = (req: any, context: { signal: AbortSignal; remainingMs: number }) => any;

/**
 * Creates a network in which each host exchanges its digests with two neighbours on a ring and two
 * fingers, every 2 s and on `push`.
 */
export function createFakeNetwork(): FakeNetwork {
  const hosts = new Map<
    string,
    { view: HostView; handlers: Map<string, Handler>; digests: Digest[]; isCutOff: boolean }
  >();
  let bytes = 0;
  const pass = <T>(message: T): T => {
    bytes += JSON.stringify(message).length;
    return structuredClone(message);
  };

  const neighboursOf = (id: string) => {
    const ring = [...hosts.keys()].sort();
    const at = ring.indexOf(id);
    const steps = [1, 2, Math.floor(ring.length / 4), Math.floor(ring.length / 2)];
    const ids = new Set(steps.map((step) => ring[(at + step) % ring.length]!));
    ids.delete(id);
    return [...ids].map((other) => hosts.get(other)!);
  };

  const createHost = (id: string): FakeHost => {
    const view: HostView = {
      id,
      incarnation: "1",
      dataCentre: "gent",
      peerAddress: id,
      callerUrl: `http://${id}`,
      state: "alive",
    };
    const self = {
      view,
      handlers: new Map<string, Handler>(),
      digests: [] as Digest[],
      isCutOff: false,
    };
    hosts.set(id, self);

    const reach = async <Req>(address: string, method: PeerMethod<Req, unknown>, req: Req) => {
      await sleep(1);
      const target = hosts.get(address);
      if (target === undefined || target.isCutOff || self.isCutOff) {
        throw new Error(`No answer from "${address}"`);
      }
      const handler = target.handlers.get(method.path)!;
      return () =>
        handler(method.req.parse(pass(req)), {
          signal: new AbortController().signal,
          remainingMs: 1_000,
        });
    };
    const exchange = () => {
      if (self.isCutOff) return;
      for (const other of neighboursOf(id)) {
        if (other.isCutOff) continue;
        for (const digest of self.digests) {
          const theirs = other.digests.find(({ name }) => name === digest.name);
          if (theirs === undefined) continue;
          bytes += 2 * digest.name.length + 16;
          const [mine, remote] = [digest.local(), theirs.local()];
          if (remote > mine) setImmediate(() => digest.onBehind(remote, other.view));
          if (mine > remote) setImmediate(() => theirs.onBehind(mine, view));
        }
      }
    };
    const timer = setInterval(exchange, HEARTBEAT_MS);
    return {
      peers: {
        async call(address, method, req) {
          const run = await reach(address, method as PeerMethod<typeof req, unknown>, req);
          return method.res.parse(pass(await run()));
        },
        async *stream(address, method, req) {
          const run = await reach(address, method as PeerMethod<typeof req, unknown>, req);
          for await (const message of run()) {
            bytes += message.bytes?.length ?? 0;
            yield method.res.parse(message);
          }
        },
        traffic: () => ({}),
        close: () => Promise.resolve(),
      },
      server: {
        handle: (method, handler) => void self.handlers.set(method.path, handler),
        handleStream: (method, handler) => void self.handlers.set(method.path, handler),
        listen: () => Promise.resolve(id),
        traffic: () => ({}),
        stop: () => Promise.resolve(),
      },
      membership: {
        self: () => view,
        hosts: () => [...hosts.values()].map((host) => host.view),
        find: (other) => hosts.get(other)?.view,
        leave() {},
        addDigest: (digest) => void self.digests.push(digest),
        push: exchange,
        broadcast() {},
        onBroadcast() {},
        askIncarnation: () => Promise.resolve(undefined),
      },
      setIsolated(isCutOff) {
        self.isCutOff = isCutOff;
      },
      stop: () => clearInterval(timer),
    };
  };

  return { createHost, bytes: () => bytes };
}
