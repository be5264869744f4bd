"""Regions that the calls of a route or a client account must not leave."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Set

from endivepier.gateway import model


class Homes:
    """The regions of data centres, and what they may receive.

    A data centre whose region is unknown is in no home.
    """

    def __init__(self, data_centre: str, regions: Mapping[str, str]) -> None:
        """Creates it for a host.

        Args:
            data_centre: data centre of this host.
            regions: the region of each data centre; empty if there is one
                region only.
        """
        self._region = regions.get(data_centre)
        self._regions = regions

    def targets(
        self, targets: list[model.Target], homes: Set[str] | None
    ) -> list[model.Target]:
        """Returns the targets in `homes`; all of them if that is None."""
        if homes is None:
            return targets
        return [
            target
            for target in targets
            if self._regions.get(target.data_centre) in homes
        ]

    def is_near(self, data_centre: str) -> bool:
        """Returns whether a data centre is in this host's region."""
        return self._regions.get(data_centre) == self._region


def common(
    route: model.Route, account: model.Account | None
) -> frozenset[str] | None:
    """Returns the regions that may serve a call; None for all of them."""
    declared = [route.homes]
    if account is not None:
        declared.append(account.homes)
    bound = [frozenset(homes) for homes in declared if homes]
    return frozenset.intersection(*bound) if bound else None
