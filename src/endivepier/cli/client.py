"""Flags and requests shared by the commands that call an entry host."""

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
    """Adds the flags for the URL of an entry host and the API key."""
    parser.add_argument(
        "--url",
        default=os.environ.get(URL_VARIABLE, ""),
        help=f"URL of any entry host ({URL_VARIABLE})",
    )
    parser.add_argument(
        "--key",
        default=os.environ.get(KEY_VARIABLE, ""),
        help=f"API key; prefer the environment variable {KEY_VARIABLE}",
    )


def request(
    args: argparse.Namespace,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> http_client.Response:
    """Sends a request to the entry host and returns its response.

    Raises:
        errors.SettingsError: the URL of the entry host is not set.
        errors.EndivepierError: the entry host did not respond.
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


def print_response(response: http_client.Response) -> int:
    """Prints a response and returns the exit code for its status."""
    ok = response.status < 400
    stream = sys.stdout if ok else sys.stderr
    print(response.body.decode(errors="replace"), file=stream)
    return 0 if ok else EXIT_REFUSED
