"""Rates of client accounts, over all hosts together."""
