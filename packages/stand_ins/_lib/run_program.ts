/**
 * Runs a stand-in as a program.
 *
 * The first argument holds the options as JSON. A JSON line with the port is printed when it
 * listens; SIGTERM and SIGINT stop it.
 */
export async function runProgram<T>(
  start: (options: T) => Promise<{ port: number; stop(): Promise<void> }>,
): Promise<void> {
  const standIn = await start(JSON.parse(process.argv[2] ?? "{}") as T);
  process.stdout.write(JSON.stringify({ port: standIn.port }) + "\n");
  const stop = () => {
    standIn.stop().then(() => process.exit(0));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}
