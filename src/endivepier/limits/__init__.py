"""Rate limits per client account, enforced over the whole fleet."""
