"""Rate limits across the fleet: shares, lending, admission."""
