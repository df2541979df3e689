import { KernelError } from "./errors.ts";
import type {
  Kernel,
  ServiceDefinition,
  ServiceLookup,
  ServiceName,
  StartedService,
} from "./types.ts";
import { sortDefinitions } from "./_lib/sort_definitions.ts";

/** A definition of a service of any type. */
// deno-lint-ignore no-explicit-any
export type AnyServiceDefinition = ServiceDefinition<any>;

/**
 * Creates a kernel for a set of services.
 *
 * The kernel only starts and stops services in order and looks them up by name.
 *
 * @param definitions the services of the process
 * @returns the kernel, not yet started
 * @throws {KernelError} when a service is missing, declared twice or part of a cycle
 *
 * @example
 * const kernel = createKernel([tableService, leaseService]);
 * await kernel.start();
 */
export function createKernel(definitions: readonly AnyServiceDefinition[]): Kernel {
  const ordered = sortDefinitions(definitions);
  const started = new Map<string, StartedService<unknown>>();

  const lookup = <T>(name: ServiceName<T>): T => {
    const found = started.get(name.id);
    if (found === undefined) throw new KernelError(`Service "${name.id}" is not started`);
    return found.service as T;
  };

  const lookupFor = (definition: AnyServiceDefinition): ServiceLookup => (name) => {
    if (!definition.needs.some((need) => need.id === name.id)) {
      throw new KernelError(
        `Service "${definition.name.id}" looks up "${name.id}" without declaring it in "needs"`,
      );
    }
    return lookup(name);
  };

  const stop = async (onService?: (id: string) => void) => {
    for (const [id, entry] of [...started].reverse()) {
      onService?.(id);
      await entry.stop?.();
      started.delete(id);
    }
  };

  const start = async () => {
    for (const definition of ordered) {
      try {
        started.set(definition.name.id, await definition.start(lookupFor(definition)));
      } catch (err) {
        await stop();
        throw new KernelError(`Service "${definition.name.id}" failed to start`, { cause: err });
      }
    }
  };

  return { start, stop, lookup };
}
