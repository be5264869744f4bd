"""Requests to plain services, of which non-idempotent ones run at most once.

A plain service is a target that is not a model engine. A non-idempotent
request carries an idempotency key. Before a sidecar sends the request, it
writes a claim for the key into the table; the claim records whether the
request ran and what the service answered. The entry host reads the claim to
answer retries and outcome look-ups.
"""
