"""What is known of the targets, and the limits that they set."""
