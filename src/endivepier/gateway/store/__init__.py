"""Access to the store, and the keys of the rows there."""
