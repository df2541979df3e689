import { Agent, request } from "undici";
import { getApiKey, TEST_MODEL, TEST_SERVICE } from "./build_document.ts";

/** Status of a redirect that preserves the method and the body. */
const REDIRECT_STATUS = 307;

/** Outcome of a request, as its caller receives it. */
export interface CallerOutcome {
  status: number;
  /** Tokens of the complete answer, or those received before a failure. */
  tokens: string[];
  /** Whether the whole answer arrived. */
  isComplete: boolean;
  requestId?: string;
  error?: { reason: string; ran: string; message: string };
  firstTokenMs?: number;
  totalMs: number;
  body?: string;
  replayed?: boolean;
}

/** HTTP client of the system. */
export interface Caller {
  complete(url: string, prompt: string, options?: CompleteOptions): Promise<CallerOutcome>;
  /** Fetches the rest of an answer, from the token with index `from`. */
  resume(url: string, requestId: string, from: number): Promise<CallerOutcome>;
  /** Calls an operation of the plain test service. */
  call(url: string, operation: string, options: CallOptions): Promise<CallerOutcome>;
  fetchAddresses(url: string): Promise<{ url: string; dataCentre: string }[]>;
  close(): Promise<void>;
}

/** Options of a completion. */
export interface CompleteOptions {
  maxTokens?: number;
  timeoutMs?: number;
  kind?: string;
  signal?: AbortSignal;
  onToken?: (count: number) => void;
  /** Set on the request that follows a redirect; a further redirect is not followed. */
  isRedirected?: boolean;
}

/** Options of a call to the plain service. */
export interface CallOptions {
  key?: string;
  body?: string;
  timeoutMs?: number;
}

/**
 * Creates an HTTP client that sends requests with the API key of a workspace.
 *
 * @param workspace id of the workspace
 * @returns a caller that follows one redirect and never retries, so that tests see each response
 */
export function createCaller(workspace: string): Caller {
  const dispatcher = new Agent({ connections: 256, headersTimeout: 0, bodyTimeout: 0 });
  const buildHeaders = (options: { timeoutMs?: number; kind?: string; key?: string }) => ({
    "content-type": "application/json",
    authorization: `Bearer ${getApiKey(workspace)}`,
    ...(options.timeoutMs === undefined ? {} : { "x-timeout-ms": String(options.timeoutMs) }),
    ...(options.kind === undefined ? {} : { "x-caller-kind": options.kind }),
    ...(options.key === undefined ? {} : { "idempotency-key": options.key }),
  });

  const complete: Caller["complete"] = async (url, prompt, options = {}) => {
    const startMs = performance.now();
    const res = await request(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: buildHeaders(options),
      body: JSON.stringify({
        model: TEST_MODEL,
        messages: [{ role: "user", content: prompt }],
        max_tokens: options.maxTokens ?? 8,
        stream: true,
      }),
      dispatcher,
      signal: options.signal,
    }).catch((err: Error) => err);
    if (res instanceof Error) return createBrokenOutcome(res, startMs);
    if (res.statusCode === REDIRECT_STATUS && !options.isRedirected) {
      await res.body.dump();
      const redirectUrl = new URL(String(res.headers.location)).origin;
      return await complete(redirectUrl, prompt, { ...options, isRedirected: true });
    }
    return await readStream(res, startMs, options.onToken);
  };

  const resume = async (url: string, requestId: string, from: number) => {
    const startMs = performance.now();
    const res = await request(`${url}/v1/requests/${requestId}?from=${from}`, {
      headers: buildHeaders({}),
      dispatcher,
    }).catch((err: Error) => err);
    if (res instanceof Error) return createBrokenOutcome(res, startMs);
    return await readStream(res, startMs);
  };

  const call = async (url: string, operation: string, options: CallOptions) => {
    const startMs = performance.now();
    try {
      const res = await request(`${url}/v1/services/${TEST_SERVICE}/${operation}`, {
        method: "POST",
        headers: buildHeaders(options),
        body: options.body ?? "{}",
        dispatcher,
      });
      const body = await res.body.text();
      return {
        status: res.statusCode,
        tokens: [],
        isComplete: res.statusCode < 300,
        error: parseError(body),
        body,
        replayed: res.headers["x-replayed"] === "true",
        totalMs: performance.now() - startMs,
      };
    } catch (err) {
      return createBrokenOutcome(err as Error, startMs);
    }
  };

  const fetchAddresses = async (url: string) => {
    const res = await request(`${url}/v1/addresses`, { headers: buildHeaders({}), dispatcher });
    const body = await res.body.json() as { addresses: { url: string; dataCentre: string }[] };
    return body.addresses;
  };

  return { complete, resume, call, fetchAddresses, close: () => dispatcher.destroy() };
}

function createBrokenOutcome(err: Error, startMs: number): CallerOutcome {
  return {
    status: 0,
    tokens: [],
    isComplete: false,
    error: { reason: "connection_broken", ran: "unknown", message: err.message },
    totalMs: performance.now() - startMs,
  };
}

type Response = Awaited<ReturnType<typeof request>>;

async function readStream(
  res: Response,
  startMs: number,
  onToken?: (count: number) => void,
): Promise<CallerOutcome> {
  const outcome: CallerOutcome = {
    status: res.statusCode,
    tokens: [],
    isComplete: false,
    requestId: res.headers["x-request-id"] as string | undefined,
    totalMs: 0,
  };
  try {
    if (res.statusCode !== 200) {
      outcome.error = parseError(await res.body.text());
    } else {
      await readEvents(res, outcome, () => {
        outcome.firstTokenMs ??= performance.now() - startMs;
        onToken?.(outcome.tokens.length);
      });
    }
  } catch (err) {
    const message = (err as Error).message;
    outcome.error = { reason: "connection_broken", ran: "unknown", message };
  }
  outcome.totalMs = performance.now() - startMs;
  return outcome;
}

async function readEvents(res: Response, outcome: CallerOutcome, onToken: () => void) {
  let buffered = "";
  for await (const chunk of res.body) {
    buffered += String(chunk);
    const events = buffered.split("\n\n");
    buffered = events.pop()!;
    for (const event of events) {
      const data = /^data: (.*)$/m.exec(event)?.[1] ?? "";
      if (event.startsWith("event: error")) outcome.error = parseError(data);
      else if (data === "[DONE]") outcome.isComplete = true;
      else readChunk(data, outcome, onToken);
    }
  }
}

function readChunk(data: string, outcome: CallerOutcome, onToken: () => void) {
  const chunk = JSON.parse(data) as { choices: { delta: { content?: string } }[] };
  const text = chunk.choices[0]?.delta.content;
  if (text === undefined) return;
  outcome.tokens.push(text);
  onToken();
}

function parseError(text: string): CallerOutcome["error"] {
  try {
    return (JSON.parse(text) as { error?: CallerOutcome["error"] }).error;
  } catch {
    return undefined;
  }
}
