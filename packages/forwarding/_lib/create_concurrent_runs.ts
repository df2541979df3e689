import type { Clock, Millis } from "@jaypass/kernel";
import { MAX_CONCURRENT_RUNS } from "../constants.ts";

/** One run of a request at a server, beside which another one may be in progress. */
export interface Run {
  /** Id of the server. */
  readonly serverId: string;
  /** Aborted when the run is dropped, so that its server and its memory become free. */
  readonly signal: AbortSignal;
  /** Records that the request is sent to the server. */
  recordSend(): void;
  /** Records that the server has been silent for so long that another run may be started. */
  recordSilence(): void;
  /**
   * Records that the server takes longer than usual, so that another run may be started. It does not
   * count as silent, so that placement does not avoid it.
   */
  recordSlowness(): void;
  /** Records data of the server, and drops all other runs whose request is not sent yet. */
  recordData(): void;
  /**
   * Must be called before each part of the answer is written. All other runs are dropped, since they
   * cannot continue an answer that this run has continued.
   *
   * @returns true if this run may write
   */
  claim(): boolean;
  /** Records that the run has ended, and calls the listener of the last run left if it is silent. */
  end(): void;
  /** Sets the listener that is called when this run is the last one left and silent; none by default. */
  setLastRunListener(listener: (() => void) | undefined): void;
  /** True until the run has ended or is dropped. */
  isActive(): boolean;
  /** True if the server has sent nothing since its silence was recorded. */
  isSilent(): boolean;
  /** Time since the request was sent to the server or since its last data. */
  silentMs(): Millis;
  /** Time since the request was sent to the server; 0 before. */
  runMs(): Millis;
  /** True while another run may answer the request. */
  hasOther(): boolean;
}

/** The runs of one request. */
export interface ConcurrentRuns {
  /**
   * Starts a run. If the most allowed are in progress and all are silent, the oldest one that has
   * written nothing is dropped. A run that has written is kept, since it may have sent the whole answer
   * but its end, which no other run can send.
   *
   * @returns the run; undefined if none may be started
   */
  start(serverId: string): Run | undefined;
  /** Reports whether a run that is silent or slow may start another one. */
  mayStartBeside(run: Run): boolean;
  /** Drops the runs that are not sent yet, for a request that has ended. */
  dropUnsent(): void;
  /** Drops all runs. */
  dropAll(): void;
  /** The runs in progress, oldest first. */
  list(): readonly Run[];
}

/** Options of {@linkcode createConcurrentRuns}. */
export interface ConcurrentRunsOptions {
  /** Monotonic time source. */
  clock: Clock;
  /** Called when a run continues the answer while another one that was sent is in progress. */
  onWon?: (winner: Run, other: Run) => void;
}

interface RunEntry extends Run {
  isSent(): boolean;
  isSlow(): boolean;
  hasWritten(): boolean;
  notifyLastRun(): void;
  drop(): void;
}

/**
 * Creates the decision which run of a request may write to the caller.
 *
 * A silent server may go on, and the server that is tried in its place may fail, so both runs go on
 * until one of them continues the answer. From then on it is the only one. A run that ends without
 * that leaves the answer to the other one.
 *
 * @param options clock and callback
 * @returns the runs, of which none is started yet
 *
 * @example
 * const runs = createConcurrentRuns({ clock });
 * const run = runs.start(server.id);
 * if (run?.claim()) res.write(event);
 */
export function createConcurrentRuns(options: ConcurrentRunsOptions): ConcurrentRuns {
  const { clock, onWon } = options;
  let active: RunEntry[] = [];

  const dropOthers = (run: RunEntry, others: readonly RunEntry[]) => {
    active = active.filter((other) => other === run || !others.includes(other));
    for (const other of others) {
      if (other.isSent()) onWon?.(run, other);
      other.drop();
    }
  };

  const dropWhere = (isDropped: (run: RunEntry) => boolean) => {
    const dropped = active.filter(isDropped);
    active = active.filter((run) => !isDropped(run));
    for (const run of dropped) run.drop();
  };

  const createRun = (serverId: string): RunEntry => {
    const controller = new AbortController();
    let isSent = false;
    let hasWritten = false;
    let isSilent = false;
    let isSlow = false;
    let sentMs: Millis | undefined;
    let lastRunListener: (() => void) | undefined;
    let lastDataMs = clock.nowMs();
    const others = () => active.filter((other) => other !== run);
    const run: RunEntry = {
      serverId,
      signal: controller.signal,
      recordSend() {
        isSent = true;
        sentMs = clock.nowMs();
        lastDataMs = sentMs;
      },
      recordSilence: () => void (isSilent = true),
      recordSlowness: () => void (isSlow = true),
      recordData() {
        isSilent = false;
        isSlow = false;
        lastDataMs = clock.nowMs();
        if (run.isActive()) dropWhere((other) => other !== run && !other.isSent());
      },
      claim() {
        if (!run.isActive()) return false;
        dropOthers(run, others());
        hasWritten = true;
        isSilent = false;
        return true;
      },
      end() {
        if (!run.isActive()) return;
        active = others();
        const [last] = active;
        if (active.length === 1 && last?.isSilent()) last.notifyLastRun();
      },
      setLastRunListener: (listener) => void (lastRunListener = listener),
      notifyLastRun: () => lastRunListener?.(),
      isActive: () => active.includes(run),
      isSilent: () => isSilent,
      silentMs: () => clock.nowMs() - lastDataMs,
      runMs: () => sentMs === undefined ? 0 : clock.nowMs() - sentMs,
      hasOther: () => others().length > 0,
      isSent: () => isSent,
      isSlow: () => isSlow,
      hasWritten: () => hasWritten,
      drop: () => controller.abort(),
    };
    return run;
  };

  const isFull = () => active.length >= MAX_CONCURRENT_RUNS;

  return {
    start(serverId) {
      if (isFull()) {
        if (!active.every((run) => run.isSilent())) return undefined;
        const replaced = active.find((run) => !run.hasWritten());
        dropWhere((run) => run === replaced);
      }
      const run = createRun(serverId);
      active.push(run);
      return run;
    },
    // The newest run is the last one to be silent for long, so only its silence allows a replacement.
    mayStartBeside(run) {
      if (!active.some((other) => other === run)) return false;
      if (!isFull()) return active.every((other) => other.isSilent() || other.isSlow());
      return active.every((other) => other.isSilent()) && active.at(-1) === run;
    },
    dropUnsent: () => dropWhere((run) => !run.isSent()),
    dropAll: () => dropWhere(() => true),
    list: () => active,
  };
}
