"""Entry hosts that reach targets directly, without a sidecar beside them.

Here a deployment is declared in rows of a store that an operator writes, and
targets register themselves there. Requests arrive over plain HTTP, and each
is decided by the entry host that received it: who may ask (`admission`),
where it goes (`placement`), what it may cost (`budgets`, `shares`) and what
is kept of it (`turns`).
"""
