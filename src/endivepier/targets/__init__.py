"""Interfaces and HTTP clients for engines, services and tools."""
