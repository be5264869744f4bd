"""Entry hosts that send calls to targets directly, without a sidecar.

An operator declares a deployment in rows of a store, and targets register
themselves there (`targets.catalog`). The entry host that receives a client's
HTTP request authenticates it and finds its route (`handler`), applies the rate
limit of its client account (`accounts`), refuses turns under overload and
chooses a target (`choice`), reserves the tokens of a turn (`budgets`), relays
its events and stores it (`streams`). `process` connects these parts.
"""
