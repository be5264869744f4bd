"""Measures how memory, processor time and messages grow with the load."""

from __future__ import annotations

from endivepier.internal import loop

loop.configure()

from gevent import monkey

monkey.patch_all()

from bench import figures
from bench import slopes_cpu
from bench import slopes_memory
from bench import slopes_messages


def main() -> None:
    """Prints the figures as JSON lines."""
    args = figures.parser(__doc__ or "").parse_args()
    slopes_memory.run(args.seed)
    slopes_messages.run(args.seed)
    slopes_cpu.run(args.seed)


if __name__ == "__main__":
    main()
