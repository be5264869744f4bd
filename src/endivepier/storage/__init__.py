"""What the platform gives: the table service, object store and host list."""
