"""Ports and adapters to targets: engines, services, tools, weight store."""
