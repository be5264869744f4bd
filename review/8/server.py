"""A model server in trouble: its answers are bytes without end.

Usage: python3 server.py ADDRESS NAME RECORD
"""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
import time

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
LINE = b"5f0e1c77a93b" * 10_000  # no field of an event
BLOCK = LINE + b"\n\n"
BYTES_PER_SECOND = 50e6  # links carry 1,000 Mbit/s


def read_request(conn: socket.socket) -> tuple[str, dict[str, str]]:
    """Returns the path and headers of a request, having read its body."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = conn.recv(65536)
        if not more:
            raise ConnectionError
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    left = int(headers.get("content-length", 0)) - len(body)
    while left > 0:
        left -= len(conn.recv(65536))
    return first.split()[1], headers


def serve(conn: socket.socket, name: str, record: str) -> None:
    """Answers the requests of one connection."""
    with conn, contextlib.suppress(OSError):
        while True:
            path, headers = read_request(conn)
            if headers.get("expect-instance", name) != name:
                status, more = "421 -", "Not-Executed: 1\r\n"
            elif path in ("/healthz", "/endivepier/report"):
                status, more = "200 OK", f"Instance-Id: {name}\r\n"
            else:
                call = headers["attempt-id"]
                with open(record, "a", encoding="utf-8") as file:
                    file.write(f"         run {call} at {name}: without end\n")
                flood(conn, call)
                return
            conn.sendall(
                f"HTTP/1.1 {status}\r\n{more}Content-Length: 0\r\n\r\n".encode()
            )


def flood(conn: socket.socket, call: str) -> None:
    """Sends the head of an answer, and then bytes until the caller closes."""
    head = (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {call}\r\nServer-Seal: {SEAL}\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    conn.sendall(head.encode())
    chunk = b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)
    began = time.monotonic()
    sent = 0
    while True:
        conn.sendall(chunk)
        sent += len(chunk)
        time.sleep(max(began + sent / BYTES_PER_SECOND - time.monotonic(), 0))


def main() -> None:
    """Serves until it is ended."""
    address, name, record = sys.argv[1:]
    host, _, port = address.rpartition(":")
    with socket.create_server((host, int(port)), backlog=64) as listener:
        print("ready", flush=True)
        while True:
            conn, _ = listener.accept()
            threading.Thread(
                target=serve, args=(conn, name, record), daemon=True
            ).start()


if __name__ == "__main__":
    main()
