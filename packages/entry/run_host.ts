import type { Kernel, Logger, Millis } from "@jaypass/kernel";
import { createHost } from "./create_host.ts";
import type { ProcessContext } from "./process_context.ts";
import { SERVICE } from "./service_names.ts";

/** Time for all services to stop once the drain has ended. */
const STOP_TIMEOUT_MS = 30_000;

/**
 * Runs an entry host until a signal asks it to stop, then drains it.
 *
 * A ready line `{"host","port"}` is printed to standard output when callers can connect. The first
 * SIGTERM or SIGINT starts the drain; a second one ends the process at once.
 *
 * @param context settings and the process's clock, random source, log and metrics
 */
export async function runHost(context: ProcessContext): Promise<void> {
  const { settings, log } = context;
  const kernel = createHost(context);
  await kernel.start();
  console.log(JSON.stringify({
    host: settings.host,
    port: Number(settings.callerListen.split(":")[1]),
  }));

  const signal = await waitForSignal();
  log.info({ signal }, "Draining");
  void waitForSignal().then(() => process.exit(1));
  await kernel.lookup(SERVICE.DRAIN).drain();
  await stopWithin(STOP_TIMEOUT_MS, kernel, log);
  await context.metrics.close();
  log.info({}, "Stopped");
  process.exit(0);
}

/** Ends the process when a service does not stop, and names it, so that a stop never hangs. */
async function stopWithin(timeoutMs: Millis, kernel: Kernel, log: Logger): Promise<void> {
  let stopping = "";
  const timer = setTimeout(() => {
    log.error({ service: stopping, timeoutMs }, "Service did not stop in time");
    process.exit(1);
  }, timeoutMs);
  await kernel.stop((id) => stopping = id);
  clearTimeout(timer);
}

function waitForSignal(): Promise<string> {
  return new Promise((resolve) => {
    for (const signal of ["SIGTERM", "SIGINT"] as const) process.once(signal, resolve);
  });
}
