import type { Kernel, Logger, Millis } from "@jaypass/kernel";
import { STOP_TIMEOUT_MS } from "./constants.ts";
import { createHost } from "./create_host.ts";
import type { ProcessContext } from "./process_context.ts";
import { SERVICE } from "./service_names.ts";

/**
 * Runs an entry host until it receives a stop signal, then drains and stops it.
 *
 * When callers can connect, a line `{"host","port"}` is printed to standard output. The first
 * SIGTERM or SIGINT starts the drain; a second one ends the process immediately.
 *
 * @param context settings, clock, random source, log and metrics of the process
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
  log.info({ signal }, "Received stop signal; draining");
  void waitForSignal().then(() => process.exit(1));
  await kernel.lookup(SERVICE.DRAIN).drain();
  await stopWithin(STOP_TIMEOUT_MS, kernel, log);
  await context.metrics.close();
  log.info({}, "Host stopped");
  process.exit(0);
}

/**
 * Stops all services. After the timeout, logs the service that has not stopped and ends the
 * process, so that the stop cannot hang.
 */
async function stopWithin(timeoutMs: Millis, kernel: Kernel, log: Logger): Promise<void> {
  let stoppingService = "";
  const timer = setTimeout(() => {
    log.error(
      { service: stoppingService, timeoutMs },
      "Service did not stop within the timeout; exiting",
    );
    process.exit(1);
  }, timeoutMs);
  await kernel.stop((id) => stoppingService = id);
  clearTimeout(timer);
}

function waitForSignal(): Promise<string> {
  return new Promise((resolve) => {
    for (const signal of ["SIGTERM", "SIGINT"] as const) process.once(signal, resolve);
  });
}
