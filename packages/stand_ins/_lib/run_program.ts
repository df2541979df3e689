/** Runs a stand-in as a program: one JSON argument, one line with the port, stop by signal. */
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
