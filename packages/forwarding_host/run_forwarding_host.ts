import { createPollMonitor, ESSENTIAL, sleep } from "@jaypass/kernel";
import type { Clock, Kernel, Millis, PollMonitor } from "@jaypass/kernel";
import {
  EXIT_CHECK_MS,
  EXIT_LINGER_MS,
  MIN_EXIT_LINGER_MS,
  MIN_STALL_MS,
  POLL_CHECK_MS,
  STOP_CHECK_MS,
} from "./constants.ts";
import type { StopState } from "./create_stop_state.ts";
import { createForwardingHost } from "./create_forwarding_host.ts";
import type { HostContext } from "./host_context.ts";
import { waitUntilStopEnds } from "./_lib/wait_until_stop_ends.ts";
import { SERVICE } from "./service_names.ts";

/**
 * Runs a forwarding host until SIGTERM or SIGINT, then stops it gracefully.
 *
 * @param context settings, platform adapter, clock, log and metrics
 */
export async function runForwardingHost(context: HostContext): Promise<void> {
  const { settings, clock, log, incarnation } = context;
  let observeStall: StopState["observeStall"] = () => {};
  const polls = monitorPolls(context, (stallMs) => observeStall(stallMs));
  const kernel = createForwardingHost(context, polls);
  // Callers that know the address may be served before the start has completed.
  const stopSignal = waitForSignal(clock, polls);
  await kernel.start();
  const stop = kernel.lookup(SERVICE.STOP_STATE);
  observeStall = stop.observeStall;
  log.info({ incarnation, callers: settings.callerAddress, [ESSENTIAL]: true }, "Host started");

  const { signal, earliestMs, handledMs } = await stopSignal;
  const forwarder = kernel.lookup(SERVICE.FORWARDER);
  const describeProgress = () => ({
    sinceSignalMs: Math.round(stop.time()?.elapsedMs ?? 0),
    requests: forwarder.size(),
    ...forwarder.connectionCounts(),
    [ESSENTIAL]: true,
  });
  stop.begin({ earliestMs, latestMs: handledMs });
  // A stop follows the settings in force, and the file may have changed without a signal.
  void context.reloadSettings().then(() => stop.recordSettingsRead());
  log.info(
    { signal, pendingMs: Math.round(handledMs - earliestMs), ...describeProgress() },
    "Host stopping; waiting for its requests to end",
  );
  const { left } = await waitUntilStopEnds(context, kernel);
  log.info(describeProgress(), "Host exiting");
  await completeExit(context, kernel, left);
  log.info(describeProgress(), "Host stopped");
  // Requests may still end during the wait above, so this comes last.
  forwarder.cutOff();
  forwarder.closeConnections();
}

/**
 * Ends the listeners and idle connections of a host, answers what has not begun, and lets answers that
 * have begun go on for as long as the process may have.
 *
 * @param left the removal of the host's row, which may still be going on
 */
async function completeExit(
  { clock, log }: HostContext,
  kernel: Kernel,
  left: Promise<void> | undefined,
): Promise<void> {
  const stop = kernel.lookup(SERVICE.STOP_STATE);
  const forwarder = kernel.lookup(SERVICE.FORWARDER);
  const servers = kernel.lookup(SERVICE.PUBLIC_SERVERS);
  stop.beginExit();
  const exitMs = stop.exitRemainingMs();
  const closed = servers.stopListening(() => stop.acceptRemainingMs() === 0);
  forwarder.endConnections();
  const othersEnded = servers.endOthers(() => stop.exitRemainingMs() < exitMs / 4);
  const close = await closed;
  log.info({ ...close, exitMs: Math.round(exitMs), [ESSENTIAL]: true }, "Listener closed");
  await othersEnded;
  // Leaves time for the last answers to leave the process. Does not wait long for the store to remove
  // the host's row, since a hub may remove it as well.
  await Promise.all([
    Promise.race([left, sleep(Math.min(STOP_CHECK_MS, stop.exitRemainingMs()))]),
    waitForZero(
      () => forwarder.connectionCounts().connections + servers.otherConnectionCount(),
      {
        clock,
        timeoutMs: Math.min(EXIT_LINGER_MS, Math.max(MIN_EXIT_LINGER_MS, stop.exitRemainingMs())),
      },
    ),
  ]);
  if (forwarder.size() > 0 && stop.answersRemainingMs() > 0) {
    // The platform may end the process in this wait.
    forwarder.continueAfterExit();
    await waitForZero(() => forwarder.size(), { clock, timeoutMs: stop.answersRemainingMs() });
  }
}

/** Logs and counts the times for which the process handled neither signals nor data. */
function monitorPolls(
  { clock, log, metrics }: HostContext,
  observeStall: (stallMs: Millis) => void,
): PollMonitor {
  return createPollMonitor({
    clock,
    intervalMs: POLL_CHECK_MS,
    minStallMs: MIN_STALL_MS,
    onStall({ stallMs, processorMs }) {
      observeStall(stallMs);
      metrics.timing("event_loop_stall_ms", stallMs);
      log.warn(
        { stallMs: Math.round(stallMs), processorMs: Math.round(processorMs), [ESSENTIAL]: true },
        "Event loop did not poll in time",
      );
    },
  });
}

/** Waits until a count is 0, at most for a timeout. */
async function waitForZero(
  count: () => number,
  { clock, timeoutMs }: { clock: Clock; timeoutMs: Millis },
): Promise<void> {
  const endMs = clock.nowMs() + timeoutMs;
  while (count() > 0 && clock.nowMs() < endMs) await sleep(EXIT_CHECK_MS);
}

/** A signal to stop. */
interface StopSignal {
  signal: string;
  /** Earliest monotonic time at which it can have been sent; the platform counts from the sending. */
  earliestMs: Millis;
  /** Monotonic time at which it was handled, the latest time of its sending. */
  handledMs: Millis;
}

/** Waits for the first signal to stop; further ones do not end the process. */
function waitForSignal(clock: Clock, polls: PollMonitor): Promise<StopSignal> {
  return new Promise((resolve) => {
    const onSignal = (signal: string) => {
      resolve({ signal, earliestMs: polls.earliestSentMs(), handledMs: clock.nowMs() });
    };
    for (const signal of ["SIGTERM", "SIGINT"] as const) process.on(signal, onSignal);
  });
}
