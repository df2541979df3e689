import type { ServerResponse } from "node:http";
import type { ClientLimits, MemoryHolder } from "@jaypass/client_limits";
import type { Clock, Logger, Metrics, Millis, RandomSource } from "@jaypass/kernel";
import type { JobOutcome, PlacementDecision, PlacementJob } from "@jaypass/placement";
import type { Hedging } from "../create_hedging.ts";
import type { ServerNotices } from "../create_server_notices.ts";
import type { Failure } from "../errors.ts";
import type { AttemptState } from "./attempt.ts";
import type { AnswerMemory } from "./create_answer_memory.ts";
import type {
  CallerMetadata,
  Configuration,
  HeaderCodec,
  HeaderList,
  Route,
  ServerCheck,
} from "../types.ts";

/** Id and address of a backend server. */
export interface ForwardingServer {
  /** Id of the server's incarnation. */
  id: string;
  /** Service that the server belongs to. */
  service: string;
  /** IP address and port. */
  address: string;
  /** Wall-clock time of the server's start, which distinguishes two starts under the same id. */
  bornMs: number;
}

/** Chooses servers for requests, locally or through a hub. */
export interface PlacementClient {
  /** Places a job; never rejects, since a host without a hub decides by itself. */
  place(job: PlacementJob): Promise<PlacementDecision>;
  /** Cancels a job that is not placed yet. */
  cancel(jobId: string): void;
  /** Reports that the first byte of the answer arrived. */
  started(jobId: string): void;
  /** Reports how a job ended, and which server caused a failure if that is known. */
  finished(jobId: string, outcome: JobOutcome, faultyServerId?: string): void;
}

/** Reserves memory on the engines that help to prefill a prompt. */
export interface ReservationClient {
  /**
   * Reserves memory on all helpers or on none, and renews the reservation until it is released.
   *
   * @returns the reservation; undefined if some helper does not have enough memory
   */
  reserve(
    jobId: string,
    plans: readonly { address: string; serverId: string; tokens: number }[],
  ): Promise<Reservation | undefined>;
}

/** Memory on helpers that is reserved for one request. */
export interface Reservation {
  /** Ticket names by server id. */
  tickets: Map<string, string>;
  /** Releases the memory. */
  release(): void;
}

/** Progress of a host's graceful stop. */
export interface StopTime {
  /** Milliseconds since the signal. */
  elapsedMs: Millis;
  /** Milliseconds until the host exits whether or not requests are in progress. */
  remainingMs: Millis;
}

/** The graceful stop of the host. */
export interface HostStop {
  /** Aborted when the stop begins. */
  signal: AbortSignal;
  /** Aborted when the host exits; requests without an answer are answered with a failure then. */
  exit: AbortSignal;
  /** Progress of the stop; undefined before it begins. */
  time(): StopTime | undefined;
  /** Least time for which answers that have begun go on once no time remains, in milliseconds. */
  lingerMs(): Millis;
  /**
   * True while callers may hold an unexpired answer of the directory that names this host, or have no
   * other host; `requests` is the number of other requests in progress.
   */
  isNeeded(requests: number): boolean;
  /** True if enough other hosts accept callers for a refused request to be served there. */
  hasOtherHosts(): boolean;
}

/** Services and state of the host that forwarding uses. */
export interface ForwardingContext {
  /** Monotonic time source. */
  clock: Clock;
  /** Source of random numbers. */
  random: RandomSource;
  /** Names a placement after the id of its request. */
  createJobId: (requestId: string) => string;
  /** Log of attempts and failures. */
  log: Logger;
  /** Counters and histograms. */
  metrics: Metrics;
  /** Converts between headers and metadata. */
  codec: HeaderCodec;
  /** Current configuration; undefined while none is known. */
  configuration: () => Configuration | undefined;
  /** Finds a server that may get requests; undefined if it is draining, gone or evacuated. */
  findServer: (id: string) => ForwardingServer | undefined;
  /** Lists the servers of a service that may get requests by their entries. */
  listServers: (service: string) => readonly ForwardingServer[];
  /** Finds the id of the server at an address. */
  findServerAt: (address: string) => string | undefined;
  /** Checks whether the process of a server that sends nothing is still there; never rejects. */
  checkServer: (server: ForwardingServer) => Promise<ServerCheck>;
  /** What servers have stated about further requests. */
  notices: Pick<ServerNotices, "record" | "waitMs" | "listUnusable">;
  /** Chooses servers for requests. */
  placement: PlacementClient;
  /** Reserves memory on helpers. */
  reservations: ReservationClient;
  /** Second runs of requests that are slower than usual; none by default. */
  hedging?: Hedging;
  /** The graceful stop, during which connections are closed after their current request. */
  stop: HostStop;
  /** Limits on what callers make the host hold; none by default. */
  clientLimits?: ClientLimits;
  /**
   * True if answers are read on from their servers into the held bytes while callers read slowly;
   * false by default.
   */
  readsAnswersOn?: boolean;
}

/** A completely received request of a caller. */
export interface CallerRequest {
  /** Id of the caller's attempt; generated by the host if the caller sent none. */
  id: string;
  /** Method, as received. */
  method: string;
  /** Request target, as received. */
  target: string;
  /** Header fields in order. */
  headers: HeaderList;
  /** Complete body. */
  body: Buffer;
  /** Metadata from the headers. */
  metadata: CallerMetadata;
  /** Matching route. */
  route: Route;
  /** Service that the request is sent to. */
  service: string;
  /** Workspace of the caller; undefined on public routes. */
  workspace: string | undefined;
  /** Hash of path, key and body. */
  fingerprint: string;
  /** Monotonic time at which the headers had arrived. */
  arrivalMs: Millis;
  /** Monotonic time at which the body had been read. */
  receivedMs: Millis;
  /** Monotonic time of the deadline. */
  endMs: Millis;
  /** Failure at the deadline, which states whether the caller or the route has set it. */
  endFailure: Failure;
  /** Aborted when the caller disconnects or the deadline passes. */
  signal: AbortSignal;
  /** The answer to the caller. */
  res: ServerResponse;
  /** Memory of the caller's connection; undefined if it is not counted. */
  holder: MemoryHolder | undefined;
  /** Memory of what servers answer. */
  answerMemory: AnswerMemory;
  /** Reports whether the answer must announce that its connection is closed afterwards. */
  shouldClose: () => boolean;
  /** Called for each part of a server's answer that was read: its head, pieces of its body, its end. */
  onReceived: () => void;
  /** Called with the attempts when they begin; the state changes as they go on. */
  onAttempts: (state: Readonly<AttemptState>) => void;
}
