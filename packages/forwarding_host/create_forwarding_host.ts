import { createKernel, createTaskGroup, sleepUntilTick } from "@jaypass/kernel";
import type { Kernel, PollMonitor, ServiceDefinition, TaskGroup } from "@jaypass/kernel";
import { HOST_COUNT_INTERVAL_MS } from "./constants.ts";
import { createStopState } from "./create_stop_state.ts";
import type { StopState } from "./create_stop_state.ts";
import { defineClusterService } from "./define_cluster_service.ts";
import {
  defineClientLimits,
  defineForwarderService,
  definePublicServers,
} from "./define_public_services.ts";
import type { HostContext } from "./host_context.ts";
import { SERVICE } from "./service_names.ts";

/**
 * Creates the kernel that runs all services of a forwarding host.
 *
 * @param context settings, platform adapter, clock, log and metrics
 * @param polls monitor of the event loop
 * @returns the kernel, which is not started yet
 *
 * @example
 * const kernel = createForwardingHost(context, polls);
 * await kernel.start();
 */
export function createForwardingHost(
  context: HostContext,
  polls: Pick<PollMonitor, "steadyForMs">,
): Kernel {
  return createKernel([
    defineTasks(context),
    defineStopState(context),
    defineClusterService(context, polls),
    defineClientLimits(context),
    defineForwarderService(context),
    definePublicServers(context),
  ]);
}

function defineTasks({ log }: HostContext): ServiceDefinition<TaskGroup> {
  return {
    name: SERVICE.TASKS,
    needs: [],
    start() {
      const tasks = createTaskGroup({
        onError: (task, err) => log.error({ task, err }, "Task failed"),
      });
      return { service: tasks, stop: () => tasks.stop() };
    },
  };
}

function defineStopState({ clock, settings, random }: HostContext): ServiceDefinition<StopState> {
  return {
    name: SERVICE.STOP_STATE,
    needs: [SERVICE.TASKS, SERVICE.CLUSTER],
    start(lookup) {
      const graceMs = () => settings.stopGraceMs;
      const stop = createStopState({ clock, graceMs, turn: random() });
      const { fleet } = lookup(SERVICE.CLUSTER);
      lookup(SERVICE.TASKS).run("count hosts", async (signal) => {
        while (!signal.aborted) {
          await sleepUntilTick(HOST_COUNT_INTERVAL_MS, { clock, signal });
          const count = fleet.liveOtherCount();
          if (count !== undefined) stop.observeHosts(count);
        }
      });
      return { service: stop };
    },
  };
}
