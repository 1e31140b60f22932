/** Hands what a server's connection reads to its parser in small pieces. */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import process from "node:process";
import * as core from "../core/mod.ts";
import { processTurns, type ReadTurns, TurnReader } from "./turns_queue.ts";

const PIECE_BYTES_MIN = 512;
const PIECE_BYTES_START = 4 * 1024;
const PIECE_BYTES_MAX = 64 * 1024;
/** A piece that took longer is followed by a smaller one. */
const PIECE_LONG_MS = 1;
/** A piece that took less is followed by a larger one. */
const PIECE_SHORT_MS = 0.25;

/** Least time counted for a read, as the system call takes some. */
const EXPECTED_MS_MIN = 0.05;

/** The methods of a socket that come before its buffer and its source. */
interface SocketMethods {
  readonly push: (chunk: Buffer | null) => boolean;
  readonly read: (bytes: number) => void;
}

/** What reading from a connection depends on. */
export interface ReadOptions {
  /** Told how many bytes were read into a new buffer. */
  readonly onRead?: (bytes: number) => void;
  /** Called when the connection has to wait for a later turn. */
  readonly onDeferred?: () => void;
  /** Those of the process by default. */
  readonly turns?: ReadTurns;
}

/** Bytes of one connection between the kernel and the parser. */
class SharedReader extends TurnReader {
  readonly #socket: Socket;
  readonly #turns: ReadTurns;
  readonly #onRead: (bytes: number) => void;
  readonly #onDeferred: () => void;
  readonly #methods: SocketMethods;
  /** What was read and is not parsed yet. */
  #pending: Buffer[] = [];
  #pendingBytes = 0;
  #hasEnded = false;
  #isEndPushed = false;
  /** Whether the socket's buffer takes more. */
  #isWanted = true;
  #isPushing = false;
  #pieceBytes = PIECE_BYTES_START;
  /** Time that the last read took to parse so far. */
  #readMs = 0;
  #expectedMs = EXPECTED_MS_MIN;

  constructor(
    socket: Socket,
    { turns = processTurns, onRead, onDeferred }: ReadOptions,
    methods: SocketMethods,
  ) {
    super();
    this.#socket = socket;
    this.#turns = turns;
    this.#onRead = onRead ?? (() => {});
    this.#onDeferred = onDeferred ?? (() => {});
    this.#methods = methods;
    turns.noteAccept();
  }

  /** Bytes that were read and are not parsed yet. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Whether connections wait for their turns. */
  get isContended(): boolean {
    return this.#turns.isContended;
  }

  override onDeferred(): void {
    this.#onDeferred();
  }

  override get hasPending(): boolean {
    return this.#pendingBytes > 0;
  }

  override get expectedMs(): number {
    return this.#expectedMs;
  }

  /** Takes what was read, null at the end; returns whether to read on. */
  receive(chunk: Buffer | null): boolean {
    if (chunk === null) {
      this.#hasEnded = true;
      this.#pushEnd();
      return false;
    }
    this.#onRead(chunk.length);
    this.#pending.push(chunk);
    this.#pendingBytes += chunk.length;
    this.#pushPieces();
    if (this.#pendingBytes > 0 || !this.#isWanted) return false;
    return this.#turns.tryTake(this);
  }

  /** The socket's buffer takes more. */
  want(bytes: number): void {
    const wasWanted = this.#isWanted;
    this.#isWanted = true;
    if (this.#pendingBytes === 0) {
      if (this.#turns.tryTake(this)) this.#methods.read(bytes);
      return;
    }
    // A piece that is pushed before this returns is parsed only later, and would
    // not be measured.
    if (!wasWanted) process.nextTick(() => this.readOn());
  }

  override readOn(): void {
    this.#pushPieces();
    if (this.#hasEnded) return this.#pushEnd();
    const mayRead = this.#pendingBytes === 0 && this.#isWanted;
    if (mayRead && !this.#socket.destroyed) this.#methods.read(0);
  }

  close(): void {
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#turns.remove(this);
  }

  #pushEnd(): void {
    const isOver = this.#pendingBytes === 0 && !this.#socket.destroyed;
    if (!isOver || this.#isEndPushed) return;
    this.#isEndPushed = true;
    this.#methods.push(null);
  }

  /** Parses what is pending; parsing may lead back here, which does nothing. */
  #pushPieces(): void {
    if (this.#isPushing) return;
    this.#isPushing = true;
    try {
      while (this.#pendingBytes > 0 && this.#isWanted) {
        if (this.#socket.destroyed) return this.close();
        if (!this.#turns.tryTake(this)) return;
        this.#pushPiece();
      }
    } finally {
      this.#isPushing = false;
    }
    if (this.#pendingBytes > 0 || this.#readMs === 0) return;
    this.#expectedMs = Math.max(EXPECTED_MS_MIN, this.#readMs);
    this.#readMs = 0;
  }

  #pushPiece(): void {
    const piece = this.#takePiece();
    const startMs = core.monotonicMs();
    this.#isWanted = this.#methods.push(piece);
    const tookMs = core.monotonicMs() - startMs;
    this.#turns.spend(this, tookMs);
    this.#adapt(tookMs, piece.length);
    this.#readMs += tookMs;
  }

  #takePiece(): Buffer {
    const first = this.#pending[0]!;
    const bytes = Math.min(first.length, this.#pieceBytes);
    if (bytes === first.length) this.#pending.shift();
    else this.#pending[0] = first.subarray(bytes);
    this.#pendingBytes -= bytes;
    return first.subarray(0, bytes);
  }

  #adapt(tookMs: number, bytes: number): void {
    if (tookMs > PIECE_LONG_MS) {
      const smaller = this.#pieceBytes / 2;
      this.#pieceBytes = Math.max(PIECE_BYTES_MIN, smaller);
    } else if (tookMs < PIECE_SHORT_MS && bytes === this.#pieceBytes) {
      this.#pieceBytes = Math.min(PIECE_BYTES_MAX, this.#pieceBytes * 2);
    }
  }
}

const readers = new WeakMap<Socket, SharedReader>();

/**
 * Makes a connection of an HTTP server parse what it reads in small pieces, for
 * as long as the turn of the event loop allows. The parser itself goes on to the
 * end of what was read, and the bytes do not tell how long that takes: a chunk
 * of one byte takes as long as one of 64 kB.
 *
 * To be called in a listener of the server's "connection" event.
 *
 * @example
 * ```ts
 * server.on("connection", (socket) => turns.shareReads(socket));
 * ```
 */
export function shareReads(socket: Socket, options: ReadOptions = {}): void {
  // The parser reads from the connection by itself until there is a listener.
  const listener = () => {};
  socket.on("data", listener).off("data", listener);
  const reader = new SharedReader(socket, options, {
    push: socket.push.bind(socket),
    read: socket._read.bind(socket),
  });
  readers.set(socket, reader);
  socket.push = (chunk: Buffer | null) => reader.receive(chunk);
  socket._read = (bytes) => reader.want(bytes);
  socket.once("close", () => reader.close());
}

/**
 * Bytes that were read from a connection and are not parsed yet; undefined
 * unless connections wait for their turns.
 *
 * @example
 * ```ts
 * const bytes = turns.waitingBytes(socket);
 * ```
 */
export function waitingBytes(socket: Socket): number | undefined {
  const reader = readers.get(socket);
  return reader?.isContended ? reader.pendingBytes : undefined;
}
