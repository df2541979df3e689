import { KernelError } from "../errors.ts";
import type { AnyServiceDefinition } from "../create_kernel.ts";

/**
 * Sorts definitions topologically, so that each follows its dependencies.
 *
 * @param definitions the services in any order
 * @returns the same definitions in start order
 * @throws {KernelError} when a service is missing, declared twice or part of a cycle
 */
export function sortDefinitions(
  definitions: readonly AnyServiceDefinition[],
): AnyServiceDefinition[] {
  const byName = new Map<string, AnyServiceDefinition>();
  for (const definition of definitions) {
    if (byName.has(definition.name.id)) {
      throw new KernelError(`Service "${definition.name.id}" is declared twice`);
    }
    byName.set(definition.name.id, definition);
  }

  const ordered = new Set<AnyServiceDefinition>();
  const visit = (definition: AnyServiceDefinition, path: string[]) => {
    const id = definition.name.id;
    if (ordered.has(definition)) return;
    if (path.includes(id)) {
      throw new KernelError(
        `Services depend on each other in a cycle: "${[...path, id].join(" > ")}"`,
      );
    }
    for (const need of definition.needs) {
      const found = byName.get(need.id);
      if (found === undefined) {
        throw new KernelError(`Service "${id}" depends on "${need.id}", which is not declared`);
      }
      visit(found, [...path, id]);
    }
    ordered.add(definition);
  };
  for (const definition of definitions) visit(definition, []);
  return [...ordered];
}
