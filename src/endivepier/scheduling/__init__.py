"""Request queues, routing to targets and the state of model engines."""
