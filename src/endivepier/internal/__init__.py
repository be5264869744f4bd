"""What may change at any time: messages between processes."""
