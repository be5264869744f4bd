"""The table service, object store and host list, as ports and adapters."""
