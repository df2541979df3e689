/**
 * Types of the kernel: clock, services, tasks, metrics.
 *
 * @module
 */

/** A duration or a point on a clock, in milliseconds. */
export type Millis = number;

/**
 * Reads time. Leases, timeouts and heartbeats use `nowMs`; only schedules by hour of the day use
 * `wallMs`.
 */
export interface Clock {
  /** Monotonic milliseconds since an arbitrary start. */
  nowMs(): Millis;
  /** Milliseconds since the Unix epoch, which may jump. */
  wallMs(): Millis;
}

/** A source of random numbers in [0, 1), which tests can replace by a seeded one. */
export type RandomSource = () => number;

/** A typed name under which a service is registered and found. */
export interface ServiceName<T> {
  /** The unique name, for example `"platform.table"`. */
  readonly id: string;
  /** Carries the type of the service; never set at run time. */
  readonly __type?: T;
}

/** Finds a started service by its name. */
export type ServiceLookup = <T>(name: ServiceName<T>) => T;

/** A started service and the function that stops it. */
export interface StartedService<T> {
  /** The object that a lookup returns. */
  service: T;
  /** Stops the service; awaited before the services that it depends on are stopped. */
  stop?: () => Promise<void>;
}

/** How a service is started, and its dependencies. */
export interface ServiceDefinition<T> {
  /** The name under which the service is registered. */
  name: ServiceName<T>;
  /** Dependencies of the service, which are started before it. */
  needs: readonly ServiceName<unknown>[];
  /** Starts the service. Lookups outside `needs` fail. */
  start: (lookup: ServiceLookup) => Promise<StartedService<T>> | StartedService<T>;
}

/** Starts and stops services in the order of their dependencies. */
export interface Kernel {
  /** Starts every service; on a failure stops those already started, then throws. */
  start(): Promise<void>;
  /** Stops the services one by one in reverse order; `onService` is called before each. */
  stop(onService?: (id: string) => void): Promise<void>;
  /** Finds a started service. */
  lookup: ServiceLookup;
}

/** Counters, gauges and timings. */
export interface Metrics {
  /** Adds `value` (default 1) to a counter. */
  increment(name: string, tags?: Record<string, string>, value?: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, tags?: Record<string, string>): void;
  /** Records a duration in milliseconds. */
  timing(name: string, valueMs: Millis, tags?: Record<string, string>): void;
  /** Returns all counters since the start, keyed by name and tags. */
  counters(): Record<string, number>;
  /** Sends buffered metrics and releases all resources. */
  close(): Promise<void>;
}

/** The part of a structured logger that the packages use (bunyan's signature). */
export interface Logger {
  debug(fields: object, message: string): void;
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  error(fields: object, message: string): void;
  child(fields: object): Logger;
}

/** Runs background tasks and stops them together. */
export interface TaskGroup {
  /** Aborted when the group stops. */
  readonly signal: AbortSignal;
  /** Starts a task; an error other than an abort is passed to `onError`. */
  run(name: string, task: (signal: AbortSignal) => Promise<void>): void;
  /** Aborts the signal and awaits all tasks. */
  stop(): Promise<void>;
}

/** A point on the monotonic clock after which the result of an operation is no longer needed. */
export interface Deadline {
  /** Milliseconds left, never below 0. */
  remainingMs(): Millis;
  /** Reports whether the deadline has passed. */
  isExpired(): boolean;
  /** Aborted at the deadline or when the parent signal aborts. */
  readonly signal: AbortSignal;
  /** Releases the timer. */
  clear(): void;
}
