"""endivepier: a scheduler for agent programs.

The package is a library with thin daemons. Importing it changes nothing in
the process: only the command's entry module patches the standard library.
"""

from endivepier import errors
from endivepier import kernel
from endivepier import timers

EndivepierError = errors.EndivepierError
Kernel = kernel.Kernel
Refused = errors.Refused
SystemTimers = timers.SystemTimers
Timers = timers.Timers

__all__ = [
    "EndivepierError",
    "Kernel",
    "Refused",
    "SystemTimers",
    "Timers",
]
