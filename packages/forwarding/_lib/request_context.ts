import type { ServerResponse } from "node:http";
import type { Clock, Logger, Metrics, Millis, RandomSource } from "@jaypass/kernel";
import type { JobOutcome, PlacementDecision, PlacementJob } from "@jaypass/placement";
import type { CallerMetadata, Configuration, HeaderCodec, HeaderList, Route } from "../types.ts";

/** A server as forwarding needs it. */
export interface ForwardingServer {
  /** Identity of the server's incarnation. */
  id: string;
  /** IP address and port. */
  address: string;
}

/** Places requests, here or at a hub. */
export interface PlacementClient {
  /** Places a job; never fails, since a host without a hub decides by itself. */
  place(job: PlacementJob): Promise<PlacementDecision>;
  /** Gives up a job whose placement is still awaited. */
  cancel(jobId: string): void;
  /** Tells that the first byte of the answer came. */
  started(jobId: string): void;
  /** Tells how a job ended, and at which server that is at fault where it is known. */
  finished(jobId: string, outcome: JobOutcome, faultyServerId?: string): void;
}

/** Reserves memory on helpers. */
export interface ReservationClient {
  /**
   * Reserves memory on all helpers or on none, and renews it until it is released.
   *
   * @returns ticket names by server id, and the function that releases them; undefined when some
   *   helper has no memory
   */
  reserve(
    jobId: string,
    plans: readonly { address: string; serverId: string; tokens: number }[],
  ): Promise<Reservation | undefined>;
}

/** Memory that is reserved for one request. */
export interface Reservation {
  /** Ticket names by server id. */
  tickets: Map<string, string>;
  /** Releases the memory. */
  release(): void;
}

/** What forwarding needs of its host. */
export interface ForwardingContext {
  /** Monotonic time source. */
  clock: Clock;
  /** Source of random numbers. */
  random: RandomSource;
  /** Decision log. */
  log: Logger;
  /** Counters and histograms. */
  metrics: Metrics;
  /** Headers of the outside. */
  codec: HeaderCodec;
  /** The configuration in force; undefined while none is known. */
  configuration: () => Configuration | undefined;
  /** Finds a server that may be sent to now; undefined when it is leaving, gone or evacuated. */
  findServer: (id: string) => ForwardingServer | undefined;
  /** Finds the id of the server at an address. */
  findServerAt: (address: string) => string | undefined;
  /** Placement of requests. */
  placement: PlacementClient;
  /** Reservations of memory. */
  reservations: ReservationClient;
  /** True while new requests are refused because the host stops. */
  isRefusing: () => boolean;
  /** True while connections are closed after their present request. */
  isClosing: () => boolean;
}

/** One caller's request that has been read whole. */
export interface CallerRequest {
  /** Id of this attempt, or one that the host made. */
  id: string;
  /** Method, as received. */
  method: string;
  /** Request target, as received. */
  target: string;
  /** Header fields in order. */
  headers: HeaderList;
  /** Whole body. */
  body: Buffer;
  /** What the headers state. */
  metadata: CallerMetadata;
  /** Route that applies. */
  route: Route;
  /** Service that answers. */
  service: string;
  /** Workspace of the caller; undefined on public routes. */
  workspace: string | undefined;
  /** Hash of path, key and body. */
  fingerprint: string;
  /** Monotonic time at which the headers were read. */
  arrivalMs: Millis;
  /** Monotonic time after which no answer is useful. */
  endMs: Millis;
  /** Aborted when the caller leaves or the end has come. */
  signal: AbortSignal;
  /** The answer to the caller. */
  res: ServerResponse;
}
