import { listPools } from "@jaypass/configuration";
import type { BackendServerConfig, EngineSummary } from "@jaypass/configuration";
import { z } from "zod";
import { fetchHostStatuses } from "./fetch_host_statuses.ts";
import type { OperatorContext } from "./operator_context.ts";

const poolSchema = z.object({
  pool: z.string(),
  servers: z.array(z.object({
    id: z.string(),
    isOpen: z.boolean(),
    isKnown: z.boolean(),
    warmth: z.string(),
    limit: z.number(),
    granted: z.number(),
    foreign: z.number(),
    grantedTokens: z.number(),
    foreignTokens: z.number(),
    memoryTokens: z.number(),
  })),
  lanes: z.array(z.object({ lane: z.string(), waiting: z.number() })),
});

type DescribedPool = z.infer<typeof poolSchema> & { coordinator: string };

/**
 * Lists every backend server with its state at its pool's coordinator.
 *
 * @param context the operators' context
 * @returns one line for each server of the configuration
 */
export async function listEngines(context: OperatorContext): Promise<EngineSummary[]> {
  const answers = await fetchHostStatuses(context);
  const pools = answers.flatMap(({ host, status }) =>
    (status?.pools ?? []).map((pool): DescribedPool => ({
      ...poolSchema.parse(pool),
      coordinator: host.peerAddress,
    }))
  );
  const servers = Object.entries(context.configuration.document().backendServers);
  const configured = listPools(context.configuration.document());
  const poolOf = (name: string) => configured.find((pool) => pool.servers.includes(name))?.id ?? "";
  return servers.map(([name, cfg]) => summarize(name, cfg, { pools, poolOf }));
}

function summarize(
  name: string,
  cfg: BackendServerConfig,
  { pools, poolOf }: { pools: readonly DescribedPool[]; poolOf: (name: string) => string },
): EngineSummary {
  for (const pool of pools) {
    const server = pool.servers.find(({ id }) => id === name);
    if (server === undefined) continue;
    return {
      name,
      pool: pool.pool,
      serves: cfg.serves,
      dataCentre: cfg.dataCentre,
      state: stateOf(server, cfg),
      limit: server.limit,
      running: server.granted + server.foreign,
      waiting: pool.lanes.reduce((sum, lane) => sum + lane.waiting, 0),
      freeMemoryTokens: server.memoryTokens - server.grantedTokens - server.foreignTokens,
      coordinator: pool.coordinator,
    };
  }
  return {
    name,
    pool: poolOf(name),
    serves: cfg.serves,
    dataCentre: cfg.dataCentre,
    state: "unknown",
    limit: 0,
    running: 0,
    waiting: 0,
    freeMemoryTokens: 0,
    coordinator: null,
  };
}

function stateOf(
  server: z.infer<typeof poolSchema>["servers"][number],
  cfg: BackendServerConfig,
): EngineSummary["state"] {
  if (cfg.state === "leaving") return "leaving";
  if (!server.isKnown) return "down";
  if (server.warmth === "cold" || server.warmth === "warming" || server.warmth === "warm") {
    return server.warmth;
  }
  return "unknown";
}
