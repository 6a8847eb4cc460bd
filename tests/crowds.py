"""Callers that misbehave, many at once, in a process of their own.

crowds.py FORM IP PORT COUNT BODY_BYTES METHOD PATH...
    COUNT callers, spread over the paths, each send one request in a form and stay; the program
    says "sent" when each has sent all that it wants to, or has been cut off
"""

import contextlib
import resource
import socket
import subprocess
import sys
import threading
import time

HEADERS = (
    "Host: a.example\r\nX-Deadline-Ms: 30000\r\nAuthorization: Token key-1\r\n"
    "X-Token-Counts: 30,800\r\nX-Model-Name: m\r\n"
)
PIECE_BYTES = 16 * 1024
CHUNK_BYTES = 64 * 1024
# Bytes by which a body stays short of its end.
SHORT_BY = 1
FAR_OVER = 8
SHORT_FIELDS = 1900
HALF_HEAD_BYTES = 14_000
SMALL_CHUNKS = 100_000
REQUESTS_AHEAD = 500
SLOW_BYTES = 40
SLOW_PAUSE_S = 0.05
# Callers that are still being served by then have sent what counts.
SENT_WITHIN_S = 20.0
SEND_TIMEOUT_S = 10.0


def head(method, path, number, *fields):
    """Return the head of a request."""
    lines = "".join(f"{field}\r\n" for field in fields)
    return (
        f"{method} {path} HTTP/1.1\r\nX-Attempt-Id: crowd-{number}\r\n{HEADERS}{lines}\r\n"
    ).encode()


def whole(sock, method, path, number, body_bytes):
    """Send a body in one piece, but for its end."""
    start = head(method, path, number, f"Content-Length: {body_bytes}")
    sock.sendall(start + bytes(body_bytes - SHORT_BY))


def pieces(sock, method, path, number, body_bytes):
    """Send a body in small pieces, but for its end."""
    sock.sendall(head(method, path, number, f"Content-Length: {body_bytes}"))
    left = body_bytes - SHORT_BY
    while left:
        piece = min(left, PIECE_BYTES)
        sock.sendall(bytes(piece))
        left -= piece


def chunks(sock, method, path, number, body_bytes):
    """Send a body in chunks, but for its end."""
    sock.sendall(head(method, path, number, "Transfer-Encoding: chunked"))
    chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    for _ in range(body_bytes // CHUNK_BYTES):
        sock.sendall(chunk)


def small_chunks(sock, method, path, number, body_bytes):
    """Send a body in chunks of one byte, but for its end."""
    sock.sendall(head(method, path, number, "Transfer-Encoding: chunked"))
    sock.sendall(b"1\r\nz\r\n" * SMALL_CHUNKS)


def over(sock, method, path, number, body_bytes):
    """Send a body far over the limit, with its length or in chunks by turns."""
    if number % 2:
        sock.sendall(head(method, path, number, f"Content-Length: {body_bytes * FAR_OVER}"))
    else:
        sock.sendall(head(method, path, number, "Transfer-Encoding: chunked"))
    chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    for _ in range(body_bytes * FAR_OVER // CHUNK_BYTES):
        sock.sendall(chunk)


def short_fields(sock, method, path, number, body_bytes):
    """Send very many short fields, and a body but for its end."""
    fields = [f"a{n}: 1" for n in range(SHORT_FIELDS)]
    start = head(method, path, number, *fields, f"Content-Length: {body_bytes}")
    sock.sendall(start + bytes(body_bytes - SHORT_BY))


def ahead(sock, method, path, number, body_bytes):
    """Send many requests ahead without reading answers."""
    sock.sendall(head(method, path, number, "Content-Length: 0") * REQUESTS_AHEAD)


def half_head(sock, method, path, number, body_bytes):
    """Send a head but for its end."""
    sock.sendall(head(method, path, number, "X-Long: " + "v" * HALF_HEAD_BYTES)[:-4])


def slow(sock, method, path, number, body_bytes):
    """Send half of a body, then a byte now and then."""
    sock.sendall(head(method, path, number, f"Content-Length: {body_bytes}"))
    sock.sendall(bytes(body_bytes // 2))
    for _ in range(SLOW_BYTES):
        sock.sendall(b"z")
        time.sleep(SLOW_PAUSE_S)


def unread(sock, method, path, number, body_bytes):
    """Send a request whose answer is never read."""
    sock.sendall(head(method, path, number, "Content-Length: 0"))


FORMS = {
    function.__name__.replace("_", "-"): function
    for function in (
        whole,
        pieces,
        chunks,
        small_chunks,
        over,
        short_fields,
        ahead,
        half_head,
        slow,
        unread,
    )
}


def main(form, ip, port, count, body_bytes, method, *paths):
    """Run a crowd until it is killed."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    opened = []

    def run(number):
        with contextlib.suppress(OSError):
            sock = socket.create_connection((ip, int(port)), SEND_TIMEOUT_S)
            opened.append(sock)
            path = paths[number % len(paths)]
            FORMS[form](sock, method, path, number, int(body_bytes))

    threads = [threading.Thread(target=run, args=(n,), daemon=True) for n in range(int(count))]
    for thread in threads:
        thread.start()
    end_at = time.monotonic() + SENT_WITHIN_S
    for thread in threads:
        thread.join(max(0.0, end_at - time.monotonic()))
    print("sent", flush=True)
    threading.Event().wait()


@contextlib.contextmanager
def running(form, address, count, body_bytes, method, *paths):
    """Run a crowd while the context lasts, from when all of it has been sent."""
    arguments = [form, *address, count, body_bytes, method, *paths]
    command = [sys.executable, __file__, *map(str, arguments)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        process.stdout.readline()
        yield process
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


if __name__ == "__main__":
    main(*sys.argv[1:])
