import type { Clock, Millis } from "@jaypass/kernel";
import { MAX_TRACED_SILENCES, SILENCE_SLACK_MS } from "../constants.ts";

/** Times of one run of a request at a server, for the log. */
export interface RunTrace {
  /** Records that the request is sent to the server. */
  recordSend(): void;
  /** Records data of the server. */
  recordData(): void;
  /** Records that the run has ended; it has no further silence. */
  recordEnd(): void;
  /** Describes the run until now; all times count from the arrival of the request. */
  describe(): RunTraceFields;
}

/** Log fields of a run; a time is missing if it has not come. */
export interface RunTraceFields {
  /** Id of the server. */
  server: string;
  /** Time from the sending to the first byte, as expected by placement. */
  expectedMs: Millis;
  placedMs: Millis;
  sentMs?: Millis;
  firstDataMs?: Millis;
  lastDataMs?: Millis;
  endedMs?: Millis;
  /** Silences of the server that were longer than expected by 0.7 s; the first ones if there are many. */
  silences: { fromMs: Millis; lengthMs: Millis }[];
}

/**
 * Creates the trace of a run, which is placed now.
 *
 * @param options clock; monotonic time of the arrival of the request; the server and its expected time to
 * the first byte
 * @returns the trace
 *
 * @example
 * const trace = createRunTrace({ clock, arrivalMs, server: "e1", expectedMs: 200 });
 */
export function createRunTrace(
  { clock, arrivalMs, server, expectedMs }: {
    clock: Clock;
    arrivalMs: Millis;
    server: string;
    expectedMs: Millis;
  },
): RunTrace {
  const nowMs = () => Math.round(clock.nowMs() - arrivalMs);
  const placedMs = nowMs();
  let sentMs: Millis | undefined;
  let firstDataMs: Millis | undefined;
  let lastDataMs: Millis | undefined;
  let endedMs: Millis | undefined;
  const silences: RunTraceFields["silences"] = [];

  /** Describes the silence that lasts now; undefined if it is none. */
  const findSilence = () => {
    const fromMs = lastDataMs ?? sentMs;
    if (fromMs === undefined || endedMs !== undefined) return undefined;
    const lengthMs = nowMs() - fromMs;
    const usualMs = lastDataMs === undefined ? expectedMs : 0;
    return lengthMs > usualMs + SILENCE_SLACK_MS ? { fromMs, lengthMs } : undefined;
  };
  const keepSilence = () => {
    const silence = findSilence();
    if (silence !== undefined && silences.length < MAX_TRACED_SILENCES) silences.push(silence);
  };

  return {
    recordSend: () => void (sentMs = nowMs()),
    recordData() {
      keepSilence();
      lastDataMs = nowMs();
      firstDataMs ??= lastDataMs;
    },
    recordEnd() {
      keepSilence();
      endedMs ??= nowMs();
    },
    describe() {
      const lasting = findSilence();
      return {
        server,
        expectedMs: Math.round(expectedMs),
        placedMs,
        ...sentMs !== undefined && { sentMs },
        ...firstDataMs !== undefined && { firstDataMs },
        ...lastDataMs !== undefined && { lastDataMs },
        ...endedMs !== undefined && { endedMs },
        silences: lasting === undefined ? [...silences] : [...silences, lasting],
      };
    },
  };
}
