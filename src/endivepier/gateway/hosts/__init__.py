"""The other entry hosts, and messages between them."""
