"""Has the other hosts confirm that they know this process.

A host reads the rows of others from the store, which may turn it away. One that
responds to messages may therefore not know a host that has joined.
"""

from __future__ import annotations

from collections.abc import Callable

import eliot
import gevent

from endivepier import errors

INTRODUCE = "introduce"  # the host that is asked knows the sender from then on
MAX_REQUESTS = 32  # at a time


class Introductions:
    """Knows which hosts have confirmed that they know this process."""

    def __init__(
        self,
        request: Callable[[str, str, bytes], bytes],
        available_hosts: Callable[[], list[str]],
    ) -> None:
        """Initializes without any confirmation.

        Args:
            request: requests an operation of a host; see `peers.Peers.request`.
            available_hosts: returns the other hosts that respond.
        """
        self._request = request
        self._available_hosts = available_hosts
        self._known_to: set[str] = set()
        self._being_asked: set[str] = set()
        self._can_not_tell: set[str] = set()  # of a former build

    def is_known_to(self, host: str) -> bool:
        """Returns whether a host has confirmed that it knows this process."""
        return host in self._known_to

    def forget(self, host: str) -> None:
        """Forgets what a host has confirmed, as it has started again."""
        self._known_to.discard(host)
        self._can_not_tell.discard(host)

    def introduce(self) -> None:
        """Asks the hosts that have not confirmed it, in the background."""
        done = self._known_to | self._being_asked | self._can_not_tell
        hosts = [host for host in self._available_hosts() if host not in done]
        for host in hosts[: MAX_REQUESTS - len(self._being_asked)]:
            self._being_asked.add(host)
            gevent.spawn(self._ask, host)

    def _ask(self, host: str) -> None:
        try:
            self._request(host, INTRODUCE, b"{}")
            self._known_to.add(host)
        except errors.PeerUnreachable as exc:
            # A host that is not avoided after this has responded, with an
            # error; others are asked again.
            if host in self._available_hosts():
                self._can_not_tell.add(host)
                eliot.log_message(
                    "peer.not_introduced", peer=host, reason=str(exc)
                )
        finally:
            self._being_asked.discard(host)
