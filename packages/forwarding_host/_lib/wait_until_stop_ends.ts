import { ESSENTIAL, sleep } from "@jaypass/kernel";
import type { Kernel } from "@jaypass/kernel";
import { STOP_CHECK_MS } from "../constants.ts";
import { STOP_STEP } from "../decide_stop_step.ts";
import type { HostContext } from "../host_context.ts";
import { SERVICE } from "../service_names.ts";

/**
 * Waits until a stopping host exits, and takes it out of the directory when its turn has come.
 *
 * @param context log of the host
 * @param kernel services of the host
 * @returns the removal of the host's row, which may still be going on
 */
export async function waitUntilStopEnds(
  { log }: HostContext,
  kernel: Kernel,
): Promise<{ left: Promise<void> | undefined }> {
  const stop = kernel.lookup(SERVICE.STOP_STATE);
  const forwarder = kernel.lookup(SERVICE.FORWARDER);
  const { fleet } = kernel.lookup(SERVICE.CLUSTER);
  let left: Promise<void> | undefined;
  while (true) {
    const readyHosts = fleet.liveOtherCount();
    if (readyHosts !== undefined) stop.observeHosts(readyHosts);
    const step = stop.nextStep(forwarder.size());
    // A host whose signal has waited for most of the grace period exits without a turn to leave.
    if (step === STOP_STEP.LEAVE || (step === STOP_STEP.EXIT && left === undefined)) {
      const sinceSignalMs = Math.round(stop.time()?.elapsedMs ?? 0);
      log.info({ readyHosts, sinceSignalMs, [ESSENTIAL]: true }, "Host leaves the directory");
      stop.leave();
      left = fleet.leave();
    }
    if (step === STOP_STEP.EXIT) return { left };
    await sleep(STOP_CHECK_MS);
  }
}
