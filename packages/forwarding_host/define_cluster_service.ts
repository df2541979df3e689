import { runAfterRead, sleep, sleepUntilTick } from "@jaypass/kernel";
import type { PollMonitor, ServiceDefinition } from "@jaypass/kernel";
import { createFleet, FLEET_TICK_MS, TABLE } from "@jaypass/fleet";
import type { HostEntry } from "@jaypass/fleet";
import { createServerNotices } from "@jaypass/forwarding";
import { COLD_WINDOW_MS, createPlacer, QUEUE_CHECK_INTERVAL_MS } from "@jaypass/placement";
import type { PlacementServer } from "@jaypass/placement";
import {
  HUB_PROBE_MS,
  MAX_READ_TURN_MS,
  MISSING_SERVER_CHECK_MS,
  PLACEMENT_TIMEOUT_MS,
} from "./constants.ts";
import { ageJob } from "./age_job.ts";
import { checkRow } from "./check_row.ts";
import { isSetBack } from "./is_set_back.ts";
import { createClusterQuarantine } from "./create_cluster_quarantine.ts";
import { createClusterView } from "./create_cluster_view.ts";
import type { ClusterView } from "./create_cluster_view.ts";
import { createHubScheduler, createLeavingReport } from "./create_hub_scheduler.ts";
import { createLoadProbe } from "./create_load_probe.ts";
import { createCancelReport, createPlacementClient } from "./create_placement_client.ts";
import { createPlacementEncoders } from "./create_placement_encoders.ts";
import { createPlacementParsers } from "./create_placement_parsers.ts";
import { createDegradedServerWatch } from "./create_degraded_server_watch.ts";
import type { HostContext } from "./host_context.ts";
import { SERVICE } from "./service_names.ts";
import type { Cluster, PlacementFleet } from "./service_names.ts";

/**
 * Defines the service that contains the fleet, the cluster view and the placement.
 *
 * @param context settings, platform adapter, clock, log and metrics
 * @param polls monitor of the event loop
 * @returns the definition
 */
export function defineClusterService(
  context: HostContext,
  polls: Pick<PollMonitor, "steadyForMs">,
): ServiceDefinition<Cluster> {
  return {
    name: SERVICE.CLUSTER,
    needs: [SERVICE.TASKS],
    async start(lookup) {
      const tasks = lookup(SERVICE.TASKS);
      const cluster = createCluster(context, polls, tasks);
      await cluster.fleet.start();
      tasks.run("remove missing servers", async (signal) => {
        while (!signal.aborted) {
          await sleepUntilTick(MISSING_SERVER_CHECK_MS, { clock: context.clock, signal });
          cluster.view.removeMissingServers();
        }
      });
      return { service: cluster, stop: () => Promise.resolve(cluster.fleet.stop()) };
    },
  };
}

function createCluster(
  context: HostContext,
  polls: Pick<PollMonitor, "steadyForMs">,
  tasks: Parameters<typeof createFleet>[0]["tasks"],
): Cluster {
  const { settings, adapter, clock, random, log, metrics } = context;
  const { retryLimits, coldLimits } = settings;
  const quarantine = createClusterQuarantine({
    store: adapter.store,
    sendGossip: (items) => fleet.sendGossip(items),
    isHub: () => fleet.isHub(),
    clock,
    log,
    metrics,
  });
  const afterRead = (run: () => void) => {
    const runOrLog = () => {
      try {
        run();
      } catch (err) {
        log.error({ err }, "Placing queued prompts failed");
      }
    };
    // Members do not wait longer for a decision.
    const maxWaitMs = PLACEMENT_TIMEOUT_MS;
    const readOptions = { clock, maxTurnMs: MAX_READ_TURN_MS, maxWaitMs };
    // The end of a link is read one turn after its last data.
    runAfterRead(() => runAfterRead(runOrLog, readOptions), readOptions);
  };
  // The hub's placer knows all requests; the local one is used if no hub answers.
  const hubPlacer = createPlacer({
    clock,
    retryLimits,
    coldLimits,
    share: () => fleet.hubLimitShare(),
    rank: (serverId) => fleet.isIsolated() ? fleet.rankAmongHosts(serverId) : 0,
    // Members report their running requests to a new hub, and not those that have just ended. They
    // also turn to another hub while this one stalls, and may close their link to it.
    knowsRecentSends: () =>
      fleet.hubForMs() >= COLD_WINDOW_MS && fleet.memberLostAgoMs() >= COLD_WINDOW_MS &&
      (fleet.hostCount() === 1 || polls.steadyForMs() >= COLD_WINDOW_MS),
    afterRead,
    quarantine: quarantine.shared,
    onVerdict: quarantine.logVerdict,
    onDecision: (record) => log.info(record, "Placement decided"),
    onShareEvent: (event, { service }) => metrics.increment("share", { event, service }),
    // An isolated host does not know which requests of other hosts a prompt would wait for.
    canQueue: () => !fleet.isIsolated(),
    isUncoordinated: () => fleet.isIsolated(),
    seed: "",
  });
  const localPlacer = createPlacer({
    clock,
    retryLimits,
    coldLimits,
    share: () => fleet.ownLimitShare(),
    rank: (serverId) => fleet.rankAmongHosts(serverId),
    quarantine: quarantine.local,
    onVerdict: quarantine.logVerdict,
    canQueue: () => false,
    isUncoordinated: () => fleet.hostCount() > 1,
    onDecision: (record) => log.info(record, "Placement decided without a hub"),
    seed: settings.host,
  });
  const listProbeable = () => listEngines(view).filter((server) => notices.waitMs(server) === 0);
  const probe = createLoadProbe({
    reports: adapter.reports,
    clock,
    log,
    metrics,
    // A probe is a request too, and the load of an engine that gets no other ones does not matter.
    engines: listProbeable,
    onReport(serverId, report) {
      for (const placer of [hubPlacer, localPlacer]) placer.applyReport(serverId, report);
    },
  });
  const degradedWatch = createDegradedServerWatch({
    listDegraded: hubPlacer.listDegraded,
    engines: listProbeable,
    reports: adapter.reports,
    onPace: hubPlacer.applyPace,
    clock,
    log,
    metrics,
  });
  const placement = createPlacementClient({
    fleet: () => fleet,
    local: localPlacer,
    dataCentre: settings.dataCentre,
    clock,
    refreshLoad: () => probe.refresh(),
    log,
    metrics,
  });
  const notices = createServerNotices({
    clock,
    log,
    metrics,
    onLeaving: (server) => fleet.report(createLeavingReport(server)),
  });
  const view = createClusterView({
    clock,
    log,
    storeRecoveredAgoMs: () => fleet.storeRecoveredAgoMs(),
    isHostAddress: (address) => fleet.hasHostAt(address),
    onChange() {
      const services = [...view.configuration()?.services.values() ?? []];
      const servers = view.usableServers();
      notices.removeGone((id) => view.findBornMs(id));
      for (const placer of [hubPlacer, localPlacer]) {
        placer.setServices(services);
        placer.setServers(servers);
      }
    },
  });
  const fleet: PlacementFleet = createFleet({
    self: describeSelf(context),
    store: adapter.store,
    scheduler: createHubScheduler(hubPlacer, { afterRead }),
    currentReports: () => [
      ...notices.listLeaving().map(createLeavingReport),
      ...placement.currentReports(),
    ],
    createCancelReport,
    ageJob,
    gossip: quarantine.gossip,
    parsers: createPlacementParsers(),
    encoders: createPlacementEncoders(),
    checkRow,
    isSetBack,
    onChange(table, changed) {
      if (table === TABLE.HOSTS) quarantine.onHostsKnown();
      view.apply(table, changed);
    },
    clock,
    random,
    log,
    metrics,
    tasks,
  });
  tasks.run("dispatch queued prompts", async (signal) => {
    while (!signal.aborted) {
      // Only hubs have queued prompts.
      if (fleet.isHub()) await sleep(QUEUE_CHECK_INTERVAL_MS, signal);
      else await sleepUntilTick(FLEET_TICK_MS, { clock, signal });
      if (hubPlacer.hasColdServers()) await new Promise<void>(afterRead);
      hubPlacer.dispatchReady();
      if (fleet.isHub()) void degradedWatch.check();
    }
  });
  quarantine.run(tasks);
  tasks.run("probe load of unlinked hosts", async (signal) => {
    while (!signal.aborted) {
      await sleepUntilTick(HUB_PROBE_MS, { clock, signal });
      // Hosts without a link place requests locally; only the engines' reports show that load.
      if (fleet.isHub() && fleet.unlinkedHostCount() > 0) await probe.refresh();
    }
  });
  return { fleet, view, placement, notices };
}

/** Lists the usable engines; servers of plain services do not report their load. */
function listEngines(view: ClusterView): PlacementServer[] {
  const services = view.configuration()?.services;
  return view.usableServers().filter(({ service }) => services?.get(service)?.engine !== undefined);
}

function describeSelf({ settings, incarnation }: HostContext): HostEntry {
  return {
    host: settings.host,
    linkAddress: settings.linkAddress,
    callerAddress: settings.callerAddress,
    dataCentre: settings.dataCentre,
    weight: settings.processorShare,
    incarnation,
  };
}
