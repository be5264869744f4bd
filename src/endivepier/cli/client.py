"""What the client commands share: an entry host and a key."""

from __future__ import annotations

import argparse
import os
import sys

from endivepier import errors
from endivepier.internal import http_client
from endivepier.internal import web

URL_VARIABLE = "ENDIVEPIER_URL"
KEY_VARIABLE = "ENDIVEPIER_KEY"
EXIT_REFUSED = 1


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Adds the flags that name the entry host and the key."""
    parser.add_argument(
        "--url",
        default=os.environ.get(URL_VARIABLE, ""),
        help=f"URL of any entry host ({URL_VARIABLE})",
    )
    parser.add_argument(
        "--key",
        default=os.environ.get(KEY_VARIABLE, ""),
        help=f"the key; better set by {KEY_VARIABLE}",
    )


def request(
    args: argparse.Namespace,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> http_client.Response:
    """Sends a request to the entry host and returns its answer.

    Raises:
        errors.SettingsError: no entry host is named.
        errors.EndivepierError: it gave no answer.
    """
    if not args.url:
        raise errors.SettingsError(f"set --url or {URL_VARIABLE}")
    all_headers = {
        "Authorization": f"Bearer {args.key}",
        "Content-Type": web.JSON_TYPE,
        **(headers or {}),
    }
    client = http_client.HttpClient(args.url)
    try:
        return client.request(method, path, body, all_headers)
    except OSError as exc:
        raise errors.EndivepierError(f"{args.url}: {exc}") from exc
    finally:
        client.close()


def show(answer: http_client.Response) -> int:
    """Prints an answer; returns the exit code that it stands for."""
    ok = answer.status < 400
    stream = sys.stdout if ok else sys.stderr
    print(answer.body.decode(errors="replace"), file=stream)
    return 0 if ok else EXIT_REFUSED
