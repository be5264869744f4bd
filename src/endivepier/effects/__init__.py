"""Non-idempotent requests: claims, outcomes, resolution."""
