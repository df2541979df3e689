import type { Kernel, Logger, Millis } from "@jaypass/kernel";
import { STOP_TIMEOUT_MS } from "./constants.ts";
import { createHost } from "./create_host.ts";
import type { ProcessContext } from "./process_context.ts";
import { SERVICE } from "./service_names.ts";

/**
 * Runs an entry host until it receives a stop signal, then drains and stops it.
 *
 * When callers can connect, a line `{"host","port"}` is printed to standard output. The first
 * SIGTERM or SIGINT starts the drain, once the start has completed; a second one ends the process
 * immediately.
 *
 * @param context settings, clock, random source, log and metrics of the process
 */
export async function runHost(context: ProcessContext): Promise<void> {
  const { settings, log } = context;
  const kernel = createHost(context);
  // Callers can connect before the start has completed.
  const stopSignal = waitForSignal();
  void stopSignal.then(waitForSignal).then(() => process.exit(1));
  await startUnlessStopped(kernel, { stopSignal, log });
  console.log(JSON.stringify({
    host: settings.host,
    port: Number(settings.callerListen.split(":")[1]),
  }));

  const signal = await stopSignal;
  log.info({ signal }, "Received stop signal; draining");
  await kernel.lookup(SERVICE.DRAIN).drain();
  await stopWithin(STOP_TIMEOUT_MS, kernel, log);
  await context.metrics.close();
  log.info({}, "Host stopped");
  process.exit(0);
}

/**
 * Starts all services. Ends the process if the start has not completed within the stop timeout after
 * a signal, so that a service that cannot start does not hold the stop.
 */
async function startUnlessStopped(
  kernel: Kernel,
  { stopSignal, log }: { stopSignal: Promise<string>; log: Logger },
): Promise<void> {
  let hasStarted = false;
  let timer: NodeJS.Timeout | undefined;
  void stopSignal.then((signal) => {
    if (hasStarted) return;
    timer = setTimeout(() => {
      log.error({ signal }, "Start did not complete within the stop timeout; exiting");
      process.exit(1);
    }, STOP_TIMEOUT_MS);
  });
  await kernel.start();
  hasStarted = true;
  clearTimeout(timer);
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
