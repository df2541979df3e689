import type { HostsResponse } from "@jaypass/configuration";
import { sleep } from "@jaypass/kernel";
import { EXIT_CODE } from "../constants.ts";
import { CliError } from "../errors.ts";
import type { CommandContext } from "../types.ts";

/** Longest wait. An accepted change is in force on all hosts within 8 s. */
const WAIT_TIMEOUT_MS = 15_000;

/** Interval between requests; for each one, the asked host queries all other hosts. */
const WAIT_INTERVAL_MS = 500;

/**
 * Waits until every host that is not dead has reached a revision, and reports the progress.
 *
 * @param revision the revision to wait for
 * @param context client and output
 * @throws {CliError} with exit code `WAIT_TIMEOUT`, naming the hosts that are behind or do not
 * answer
 */
export async function waitForRevision(revision: number, context: CommandContext): Promise<void> {
  const { client, io } = context;
  const endMs = performance.now() + WAIT_TIMEOUT_MS;
  let lastProgress = "";
  for (;;) {
    const { hosts } = await client.get<HostsResponse>("/admin/v1/hosts");
    const live = hosts.filter(({ state }) => state !== "dead");
    const behind = live.filter((host) => (host.revision ?? 0) < revision);
    const progress = `${
      live.length - behind.length
    } of ${live.length} hosts at revision ${revision}`;
    if (progress !== lastProgress) io.writeError(progress);
    lastProgress = progress;
    if (behind.length === 0) return;
    if (performance.now() > endMs) {
      const names = behind.map((host) => `${host.host} (${host.revision ?? "no answer"})`);
      throw new CliError(`${progress} after ${WAIT_TIMEOUT_MS} ms; behind: ${names.join(", ")}`, {
        exitCode: EXIT_CODE.WAIT_TIMEOUT,
      });
    }
    await sleep(WAIT_INTERVAL_MS);
  }
}
