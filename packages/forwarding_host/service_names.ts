import { serviceName } from "@jaypass/kernel";
import type { ClientLimits } from "@jaypass/client_limits";
import type { ListenerClose, TaskGroup } from "@jaypass/kernel";
import type { Fleet } from "@jaypass/fleet";
import type { Forwarder, ServerNotices } from "@jaypass/forwarding";
import type { PlacementDecision, PlacementJob } from "@jaypass/placement";
import type { ClusterView } from "./create_cluster_view.ts";
import type { JobReport } from "./create_hub_scheduler.ts";
import type { HostPlacement } from "./create_placement_client.ts";
import type { StopState } from "./create_stop_state.ts";

/** A fleet that carries the messages of placement. */
export type PlacementFleet = Fleet<PlacementJob, PlacementDecision, JobReport>;

/** Names of the services of a forwarding host. */
export const SERVICE = {
  TASKS: serviceName<TaskGroup>("tasks"),
  CLIENT_LIMITS: serviceName<ClientLimits | undefined>("client-limits"),
  STOP_STATE: serviceName<StopState>("stop-state"),
  CLUSTER: serviceName<Cluster>("cluster"),
  FORWARDER: serviceName<Forwarder>("forwarder"),
  PUBLIC_SERVERS: serviceName<PublicServers>("public-servers"),
} as const;

/** Servers for callers, readiness checks, the directory and metrics. */
export interface PublicServers {
  /**
   * Refuses the requests of callers whose connections wait to be accepted, then accepts no more; those
   * that are open stay. Ends early once `isDue` returns true.
   */
  stopListening(isDue: () => boolean): Promise<ListenerClose>;
  /**
   * Closes the listeners and idle connections of the servers for readiness checks, the directory and
   * metrics. Requests that have been accepted are answered.
   *
   * @param isDue as above
   */
  endOthers(isDue: () => boolean): Promise<void>;
  /** Number of open connections to these servers. */
  otherConnectionCount(): number;
}

/** Fleet, cluster view and placement, which depend on one another. */
export interface Cluster {
  /** Connections to the store and the other hosts. */
  fleet: PlacementFleet;
  /** This host's knowledge of the configuration and servers. */
  view: ClusterView;
  /** Placement of this host's requests. */
  placement: HostPlacement;
  /** What servers have stated to this host about further requests. */
  notices: ServerNotices;
}
