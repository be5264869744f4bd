"""Entry hosts that send calls to targets directly, without a sidecar.

An operator declares a deployment in rows of a store, and targets register
themselves there (`catalog`). The entry host that receives a client's HTTP
request authenticates it and finds its route (`handler`), applies the rate
limit of its client account (`shares`), refuses turns under overload
(`turn_admission`), reserves the tokens of a turn (`budgets`), chooses a target
(`placement`) and stores completed turns (`turns`).
"""
